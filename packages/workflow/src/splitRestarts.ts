import type { TaskRef } from './jobSpec.js';
import type { ReadyStep } from './readySteps.js';
import type { WorkflowState } from './workflowState.js';

/** Input for the split of ready steps. */
export interface SplitContext {
  state: WorkflowState;
  /** Returns the monotonic time since which a task has had no run. */
  readOutageSinceMs: (task: TaskRef) => number;
}

/** Ready steps by precedence. */
export interface SplitSteps {
  /** Tasks of services that have run before, the longest outage first. */
  restarts: ReadyStep[];
  others: ReadyStep[];
}

/** Returns the waiting tasks of a service step that have run before; of a gang, all or none. */
function listRestarts({ job, occurrence, step, spec, waiting }: ReadyStep, state: WorkflowState) {
  const record = state.findStep(job, occurrence, step);
  const restarts = waiting.filter((index) => (record?.tasks[index]?.lastRun ?? 0) > 0);
  return spec.isGang && restarts.length < waiting.length ? [] : restarts;
}

/**
 * Separates restarts of service tasks from other work. An accepted service is promised to run, and
 * a restart takes no more capacity than the task held before. Tasks of the same step that have
 * never run wait until its restarts are placed.
 */
export function splitRestarts(steps: Iterable<ReadyStep>, context: SplitContext): SplitSteps {
  const { state, readOutageSinceMs } = context;
  const others: ReadyStep[] = [];
  const restarts: { step: ReadyStep; sinceMs: number }[] = [];
  for (const step of steps) {
    const waiting = step.spec.isService ? listRestarts(step, state) : [];
    if (waiting.length === 0) {
      others.push(step);
    } else {
      const { job, occurrence, step: number } = step;
      const tasks = waiting.map((index) => ({ jobId: job.id, occurrence, step: number, index }));
      const sinceMs = Math.min(...tasks.map(readOutageSinceMs));
      restarts.push({ step: { ...step, waiting, isRestart: true }, sinceMs });
    }
  }
  restarts.sort((a, b) => a.sinceMs - b.sinceMs);
  return { restarts: restarts.map(({ step }) => step), others };
}
