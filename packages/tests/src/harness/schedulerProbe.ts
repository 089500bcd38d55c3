import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';

import type { StepHooks } from './stepHooks.js';

/** Creates the scheduler under test. */
export type SchedulerFactory = () => Scheduler;

/** Creates a scheduler that reports the step `decide` for each call that returns decisions. */
export function createProbedScheduler(
  factory: SchedulerFactory,
  instance: string,
  hooks: StepHooks,
): Scheduler {
  const scheduler = factory();
  const decide = scheduler.decide.bind(scheduler);
  scheduler.decide = (nowMs, maxPlacements) => {
    const decisions = decide(nowMs, maxPlacements);
    if (decisions.length > 0) hooks.reportStep('decide', { instance });
    return decisions;
  };
  return scheduler;
}
