import { addResources, NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import { countTasks } from './capacityForecast.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import { slackMs, targetDurationMs } from './jobSlack.js';
import { RunningFleet, type RunningFleetOptions } from './preemptionFleet.js';
import { PreemptionHistory } from './preemptionHistory.js';
import { leadMs, PreemptionPlanner } from './preemptionPlan.js';
import type { PlannedHold, PlannedStop, PreemptionTiming, UrgentStep } from './preemptionTypes.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import type { RoomHold } from './roomHolds.js';
import type { StepScheduler } from './stepScheduler.js';
import { StopTracker } from './stopTracker.js';

/** Options of {@link Preemption}. */
export interface PreemptionOptions extends Omit<RunningFleetOptions, 'history' | 'stops'> {
  ready: ReadySteps;
  scheduler: StepScheduler;
}

/** Priority of the queues whose work may have other runs stopped. */
const URGENT_PRIORITY = 0;

/** Time from the end of a stopped run until it is noticed, recorded, and the room is used. */
const NOTICE_MS = 100;

/** Time for which room is held, as a multiple of the time that freeing takes at most. */
const HOLD_FACTOR = 2.5;

/** Most steps for which stops are planned in a cycle. */
const MAX_STEPS_PER_CYCLE = 32;

/** Part of a scheduling cycle that planning may take, after the placement of tasks. */
const TURN_SHARE = 0.25;

/** An urgent step with its slack. */
interface WaitingStep {
  ready: ReadyStep;
  queue: QueuePolicy;
  slackMs: number;
}

/**
 * Stops runs that write checkpoints for steps of urgent queues that found no capacity and would be
 * late if they waited for it, and holds the room for them. It answers bursts of urgent work on a
 * fleet that long tasks fill: without it the urgent work waits until long tasks end.
 */
export class Preemption {
  private readonly opts: PreemptionOptions;
  private readonly timing: PreemptionTiming;
  private readonly history = new PreemptionHistory();
  private readonly stops: StopTracker;
  /** Holds that were added here and are neither used nor known to be gone. */
  private holds = new Set<RoomHold>();

  constructor(opts: PreemptionOptions) {
    this.opts = opts;
    const freeingMs = opts.context.timing.stopMs + NOTICE_MS;
    this.timing = { freeingMs, holdMs: freeingMs * HOLD_FACTOR };
    this.stops = new StopTracker(opts.ledger, this.timing.holdMs);
  }

  /** Plans and orders stops for the steps that the scheduling cycle could not place. */
  run(config: CellConfig): void {
    const { context } = this.opts;
    if (!context.features.has('preemption') || !context.isValid()) return;
    const startMs = performance.now();
    this.reviewHolds(startMs);
    const hasVictims = config.queues.some(({ priority }) => priority > URGENT_PRIORITY);
    const waiting = hasVictims ? this.listWaiting(config) : [];
    if (waiting.length === 0) return;
    const { history, stops, timing } = this;
    const fleet = new RunningFleet({ ...this.opts, history, stops }, config, timing);
    const planner = new PreemptionPlanner(fleet, timing);
    // A long cycle would block leadership renewal, which shares the event loop.
    const endMs = startMs + context.timing.turnMs * TURN_SHARE;
    const held = this.countHeld(startMs);
    let count = 0;
    for (const step of waiting) {
      if (count >= MAX_STEPS_PER_CYCLE || performance.now() > endMs) break;
      const urgent = this.describe(step, held.get(step.ready.name) ?? NO_RESOURCES);
      if (!urgent) continue;
      planner.add(urgent);
      count += 1;
    }
    const { stops: planned, holds } = planner.result;
    for (const stop of planned) this.stop(stop);
    for (const hold of holds) this.hold(hold);
  }

  /** Discards outdated records; called periodically. */
  clean(): void {
    this.history.clean(performance.now(), (step) => this.opts.ready.has(step));
  }

  /** Releases the holds of steps that no longer wait for as many tasks, and of gone endpoints. */
  private reviewHolds(nowMs: number): void {
    const { holds, ready, directory } = this.opts;
    this.stops.review();
    const present = new Set(holds.list(nowMs));
    const counts = new Map<string, number>();
    for (const hold of this.holds) {
      if (!present.has(hold)) {
        this.holds.delete(hold);
        if (hold.untilMs <= nowMs) this.recordExpired(hold, nowMs);
      } else {
        const count = (counts.get(hold.step) ?? 0) + 1;
        const isNeeded = count <= ready.countWaiting(hold.step);
        if (isNeeded && directory.find(hold.endpoint)) counts.set(hold.step, count);
        else this.release(hold);
      }
    }
  }

  private release(hold: RoomHold): void {
    this.holds.delete(hold);
    this.opts.holds.remove(hold);
  }

  /** A step that leaves room unused which has become free gets none for a while. */
  private recordExpired({ step, endpoint, stoppedMs }: RoomHold, nowMs: number): void {
    const { context, ready } = this.opts;
    const isFreed = !this.stops.list().some(({ run }) => run.endpoint === endpoint);
    context.logger.info('room was not used in time', {
      step,
      endpoint,
      isFreed,
      stoppedAgoMs: stoppedMs && Math.round(nowMs - stoppedMs),
    });
    if (isFreed && ready.has(step)) this.history.recordUnused(step, nowMs);
  }

  /** Returns the room that is held for each step. */
  private countHeld(nowMs: number): Map<string, Resources> {
    const held = new Map<string, Resources>();
    for (const { step, size } of this.opts.holds.list(nowMs)) {
      held.set(step, addResources(held.get(step) ?? NO_RESOURCES, size));
    }
    return held;
  }

  /** Lists the urgent steps that wait: those that can be in time by slack, then the others. */
  private listWaiting({ queues }: CellConfig): WaitingStep[] {
    const urgent = new Map(
      queues.filter(({ priority }) => priority === URGENT_PRIORITY).map((it) => [it.name, it]),
    );
    if (urgent.size === 0) return [];
    const wallMs = Date.now();
    const nowMs = performance.now();
    const { reader } = this.opts.durations;
    const waiting: WaitingStep[] = [];
    for (const ready of this.opts.ready.list()) {
      const queue = urgent.get(ready.job.queue);
      const { isGang, isService, fillsIdleCapacity } = ready.spec;
      // A gang would need all its room at the same time.
      if (!queue || isGang || isService || fillsIdleCapacity) continue;
      if (this.history.isBackedOff(ready.name, nowMs)) continue;
      const slack = slackMs(ready, queue, wallMs, reader);
      // Others can still wait for room that becomes free.
      if (slack <= leadMs(this.timing)) waiting.push({ ready, queue, slackMs: slack });
    }
    // As in the order of placement, late work does not make work late that could be in time.
    return waiting.sort(
      (a, b) => Number(a.slackMs < 0) - Number(b.slackMs < 0) || a.slackMs - b.slackMs,
    );
  }

  private describe(
    { ready, queue, slackMs: slack }: WaitingStep,
    held: Resources,
  ): UrgentStep | undefined {
    const { durations, quarantine, scheduler } = this.opts;
    const { reader } = durations;
    const { name, job, spec } = ready;
    const suspects = quarantine.listSuspects(ready).size;
    const taskCount = ready.waiting.length - suspects - countTasks(spec.size, held);
    if (taskCount <= 0) return undefined;
    const endpoints = scheduler.listUsable(ready, queue, this.timing.freeingMs);
    if (endpoints.length === 0) return undefined;
    return {
      name,
      organisation: job.organisation,
      priority: queue.priority,
      size: spec.size,
      taskCount,
      slackMs: slack,
      targetMs: targetDurationMs(ready, queue, reader),
      durationMs: reader(ready, ready.step),
      endpoints,
    };
  }

  private stop({ run, step, latenessMs, isForLimit }: PlannedStop): void {
    const { context, directory } = this.opts;
    const nowMs = performance.now();
    this.stops.add({ run, sinceMs: nowMs });
    this.history.recordStop(run.key.slice(0, run.key.lastIndexOf(':')), nowMs);
    directory.stopRun(run.endpoint, run.key);
    context.meter.countPreemptedRun(run.priority);
    context.logger.info('run is preempted', {
      run: run.key,
      endpoint: run.endpoint,
      organisation: run.organisation,
      slackMs: Math.round(run.slackMs),
      remainingMs: Math.round(run.remainingMs),
      preemptions: run.preemptions,
      forStep: step.name,
      reason: isForLimit ? 'its organisation is at its limit' : 'no capacity in time',
      stepSlackMs: Math.round(step.slackMs),
      stepLatenessMs: Math.round(Math.min(latenessMs, Number.MAX_SAFE_INTEGER)),
      waitingTasks: step.taskCount,
    });
  }

  private hold({ endpoint, step, awaits }: PlannedHold): void {
    const nowMs = performance.now();
    const hold: RoomHold = {
      endpoint,
      step: step.name,
      organisation: step.organisation,
      priority: step.priority,
      size: step.size,
      untilMs: nowMs + this.timing.holdMs,
      stoppedMs: nowMs,
      awaits,
    };
    this.holds.add(hold);
    this.opts.holds.add(hold);
  }
}
