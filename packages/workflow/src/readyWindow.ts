/** Maximum number of ready steps of a job with the same number, over all its occurrences. */
const MAX_STEPS = 64;

/** Maximum number of their waiting tasks; the last step may exceed it. */
export const MAX_WAITING_TASKS = 4096;

interface Usage {
  steps: number;
  tasks: number;
}

/**
 * Bounds the ready steps of one job, so that the cost of a job follows what can start next and not
 * what was asked for. Each step number has a bound of its own, as a step that cannot be placed must
 * not hold back the others.
 */
export class ReadyWindow {
  private readonly usage = new Map<number, Usage>();

  /** Returns whether another occurrence of a step is considered. */
  hasRoom(step: number): boolean {
    const usage = this.usage.get(step);
    return !usage || (usage.steps < MAX_STEPS && usage.tasks < MAX_WAITING_TASKS);
  }

  /** Counts a ready step with its waiting tasks. */
  add(step: number, tasks: number): void {
    const usage = this.usage.get(step) ?? { steps: 0, tasks: 0 };
    usage.steps += 1;
    usage.tasks += tasks;
    this.usage.set(step, usage);
  }
}
