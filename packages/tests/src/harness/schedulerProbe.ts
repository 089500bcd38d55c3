import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';

import type { StepHooks } from './stepHooks.js';

/** Makes the scheduler under test. */
export type SchedulerFactory = () => Scheduler;

/** Makes a scheduler that reports to the hooks each time it decides on waiting work. */
export function createProbedScheduler(
  factory: SchedulerFactory,
  instance: string,
  hooks: StepHooks,
): Scheduler {
  const scheduler = factory();
  const decide = scheduler.decide.bind(scheduler);
  scheduler.decide = (nowMs, maxPlacements) => {
    const decisions = decide(nowMs, maxPlacements);
    if (decisions.length > 0) hooks.reach('decide', { instance });
    return decisions;
  };
  return scheduler;
}
