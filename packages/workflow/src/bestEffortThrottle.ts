import type { EndpointAgent } from './endpointAgent.js';
import type { ActiveRun } from './endpointDriver.js';
import { parseTaskName } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';

const FULL_PACE_PERCENT = 100;

/** Ratio of tail response time to target above which best-effort tasks are slowed down. */
const SLOWDOWN_RATIO = 0.85;

/** Ratio below which best-effort tasks may speed up. */
const RECOVERY_RATIO = 0.6;

/** Increment by which best-effort tasks speed up. */
const RECOVERY_STEP_PERCENT = 25;

/** Minimum pace; best-effort tasks are paused instead of running slower. */
const MIN_PACE_PERCENT = 20;

/** Time since the last change of pace before best-effort tasks speed up. */
const RECOVERY_DELAY_MS = 1000;

interface PaceState {
  percent: number;
  changedMs: number;
}

/** Returns the next pace of best-effort tasks, given the worst ratio of tail to target. */
export function nextPace(percent: number, ratio: number, sinceChangeMs: number): number {
  if (ratio > 1) return 0;
  if (ratio > SLOWDOWN_RATIO) {
    const halved = Math.floor(percent / 2);
    return halved < MIN_PACE_PERCENT ? 0 : halved;
  }
  if (ratio < RECOVERY_RATIO && sinceChangeMs >= RECOVERY_DELAY_MS) {
    return Math.min(FULL_PACE_PERCENT, percent + RECOVERY_STEP_PERCENT);
  }
  return percent;
}

/**
 * Slows down best-effort tasks while latency-sensitive tasks on the same endpoint approach their
 * response time target, and speeds them up again once response times have recovered.
 */
export class BestEffortThrottle {
  private readonly context: SessionContext;
  private readonly paces = new Map<string, PaceState>();

  constructor(context: SessionContext) {
    this.context = context;
  }

  /** Adjusts the pace of best-effort tasks to the active runs that an endpoint reported. */
  observe(agent: EndpointAgent, active: ActiveRun[]): void {
    const { state, logger } = this.context;
    const bestEffortRuns: ActiveRun[] = [];
    let worstRatio = 0;
    let hasLatencyTarget = false;
    for (const run of active) {
      const ref = parseTaskName(run.task);
      const spec = ref && state.findSpec(ref);
      if (!spec) continue;
      if (spec.fillsIdleCapacity) bestEffortRuns.push(run);
      if (spec.latencyTargetMs > 0) {
        hasLatencyTarget = true;
        worstRatio = Math.max(worstRatio, run.load / spec.latencyTargetMs);
      }
    }
    agent.hasLatencyTarget = hasLatencyTarget;
    if (!hasLatencyTarget || bestEffortRuns.length === 0) {
      this.paces.delete(agent.id);
      this.setPace(agent, bestEffortRuns, FULL_PACE_PERCENT);
      return;
    }
    const nowMs = performance.now();
    const pace = this.paces.get(agent.id) ?? { percent: FULL_PACE_PERCENT, changedMs: nowMs };
    const percent = nextPace(pace.percent, worstRatio, nowMs - pace.changedMs);
    if (percent !== pace.percent) {
      logger.info('pace of best-effort tasks changed', {
        endpoint: agent.id,
        percent,
        tailOfTarget: worstRatio,
        tasks: bestEffortRuns.length,
      });
      this.paces.set(agent.id, { percent, changedMs: nowMs });
    } else {
      this.paces.set(agent.id, pace);
    }
    this.setPace(agent, bestEffortRuns, percent);
  }

  private setPace(agent: EndpointAgent, runs: ActiveRun[], percent: number): void {
    const { driver, fencingToken, logger } = this.context;
    for (const run of runs) {
      if (run.percent === percent || !this.context.isValid()) continue;
      const order = { task: run.task, run: run.run, percent, fencingToken };
      driver.pace(agent.record, order).then(
        (isAccepted) => {
          if (!isAccepted) logger.debug('pace order rejected', { endpoint: agent.id, ...order });
        },
        (err: Error) => logger.warn('pace order failed', { endpoint: agent.id, err: err.message }),
      );
    }
  }
}
