import type { EndpointAgent } from './endpointAgent.js';
import type { ActiveRun } from './endpointDriver.js';
import { parseTaskName } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';

/** Full pace of a run in percent. */
const FULL_PACE = 100;

/** Part of the target above which filling work is slowed down. */
const RELIEF_RATIO = 0.85;

/** Part of the target below which filling work may speed up. */
const RECOVERY_RATIO = 0.6;

/** Steps by which filling work speeds up, in percent. */
const RECOVERY_STEP = 25;

/** Pace below which filling work rests altogether, in percent. */
const LOWEST_PACE = 20;

/** Time without pressure before filling work speeds up. */
const RECOVERY_MS = 1000;

interface PaceState {
  percent: number;
  changedMs: number;
}

/** Returns the next pace of filling work beside serving tasks whose tail is `ratio` of its target. */
export function nextPace(percent: number, ratio: number, sinceChangeMs: number): number {
  if (ratio > 1) return 0;
  if (ratio > RELIEF_RATIO) {
    const halved = Math.floor(percent / 2);
    return halved < LOWEST_PACE ? 0 : halved;
  }
  if (ratio < RECOVERY_RATIO && sinceChangeMs >= RECOVERY_MS) {
    return Math.min(FULL_PACE, percent + RECOVERY_STEP);
  }
  return percent;
}

/**
 * Slows filling tasks down while serving tasks beside them come close to their response time
 * target, and lets them speed up again when the pressure is gone.
 */
export class InterferenceGuard {
  private readonly context: SessionContext;
  private readonly paces = new Map<string, PaceState>();

  constructor(context: SessionContext) {
    this.context = context;
  }

  /** Takes up what an endpoint reports of its runs. */
  observe(agent: EndpointAgent, active: ActiveRun[]): void {
    const { state, logger } = this.context;
    const filling: ActiveRun[] = [];
    let worstRatio = 0;
    let isServing = false;
    for (const run of active) {
      const ref = parseTaskName(run.task);
      const spec = ref && state.findSpec(ref);
      if (!spec) continue;
      if (spec.fillsIdleCapacity) filling.push(run);
      if (spec.latencyTargetMs > 0) {
        isServing = true;
        worstRatio = Math.max(worstRatio, run.load / spec.latencyTargetMs);
      }
    }
    agent.isWatched = isServing;
    if (!isServing || filling.length === 0) {
      this.paces.delete(agent.id);
      this.setPace(agent, filling, FULL_PACE);
      return;
    }
    const nowMs = performance.now();
    const pace = this.paces.get(agent.id) ?? { percent: FULL_PACE, changedMs: nowMs };
    const percent = nextPace(pace.percent, worstRatio, nowMs - pace.changedMs);
    if (percent !== pace.percent) {
      logger.info('pace of filling tasks changed', {
        endpoint: agent.id,
        percent,
        tailOfTarget: worstRatio,
        tasks: filling.length,
      });
      this.paces.set(agent.id, { percent, changedMs: nowMs });
    } else {
      this.paces.set(agent.id, pace);
    }
    this.setPace(agent, filling, percent);
  }

  private setPace(agent: EndpointAgent, runs: ActiveRun[], percent: number): void {
    const { driver, fencingToken, logger } = this.context;
    for (const run of runs) {
      if (run.percent === percent) continue;
      const order = { task: run.task, run: run.run, percent, fencingToken };
      driver.pace(agent.record, order).then(
        (isAccepted) => {
          if (!isAccepted) logger.debug('pace was not accepted', { endpoint: agent.id, ...order });
        },
        (err: Error) => logger.warn('pace failed', { endpoint: agent.id, err: err.message }),
      );
    }
  }
}
