import { isSuspected } from './crashRecord.js';
import { stepName, type StepSpec, type TaskRef } from './jobSpec.js';
import { skipOccurrences } from './occurrenceRanges.js';
import { countDue, dueTimeMs, timeToNextMs } from './occurrenceSchedule.js';
import { MAX_WAITING_TASKS, ReadyWindow } from './readyWindow.js';
import type { JobRecord, RunRecord, TaskRecord } from './workflowRecords.js';
import type { WorkflowState } from './workflowState.js';

/** A step with tasks that can start now. */
export interface ReadyStep {
  /** Unique name: job, occurrence and step. */
  name: string;
  job: JobRecord;
  occurrence: number;
  step: number;
  spec: StepSpec;
  /** Indexes of the waiting tasks; of a very wide step, those of the first ones. */
  waiting: number[];
  /** Due time of the job or its occurrence, Unix milliseconds. */
  dueMs: number;
  /** The waiting tasks belong to a service and have run before. */
  isRestart?: boolean;
}

/** Maximum concurrent runs of a task, the speculative copy included. */
const MAX_CONCURRENT_RUNS = 2;

/**
 * Maximum number of tasks in the occurrences of a job that have started and are not completed; at
 * least one occurrence can start.
 */
const MAX_TASKS_IN_PROGRESS = 4096;

/** Returns how many waiting tasks of a step are listed at a time. */
function countListed({ taskCount, isGang, isService }: StepSpec): number {
  // A gang starts as a whole, and restarts of a service must not be left out.
  return isGang || isService ? taskCount : Math.min(taskCount, MAX_WAITING_TASKS);
}

/** Creates a step whose tasks are all waiting. */
function createReadyStep(job: JobRecord, occurrence: number, step: number): ReadyStep {
  const spec = job.spec.steps[step]!;
  return {
    name: stepName(job.id, occurrence, step),
    job,
    occurrence,
    step,
    spec,
    waiting: Array.from({ length: countListed(spec) }, (_, index) => index),
    dueMs: dueTimeMs(job, occurrence),
  };
}

/** Returns whether all dependencies of a step have completed. */
type DependencyCheck = (spec: StepSpec) => boolean;

/** Iterates over all tasks of a job that have a record. */
export function* listTasks(job: JobRecord): Generator<{ task: TaskRef; record: TaskRecord }> {
  for (const { occurrence, step, tasks } of job.steps.values()) {
    for (const [index, record] of tasks.entries()) {
      yield { task: { jobId: job.id, occurrence, step, index }, record };
    }
  }
}

/** Options of {@link ReadySteps}. */
export interface ReadyStepsOptions {
  state: WorkflowState;
  /** Returns the indexes of the tasks whose start is planned but not committed yet. */
  pendingOf: (step: string) => ReadonlySet<number> | undefined;
  /** Returns whether a speculative copy is likely to end before the run. */
  isSuspect: (task: TaskRef, run: RunRecord) => boolean;
}

/** Tracks the steps with tasks that can start. */
export class ReadySteps {
  private readonly opts: ReadyStepsOptions;
  private readonly steps = new Map<string, ReadyStep>();
  private readonly namesByJob = new Map<string, Set<string>>();

  constructor(opts: ReadyStepsOptions) {
    this.opts = opts;
  }

  /** Returns the steps with waiting tasks, in no particular order. */
  list(): Iterable<ReadyStep> {
    return this.steps.values();
  }

  /** Number of steps with waiting tasks. */
  get size(): number {
    return this.steps.size;
  }

  /** Returns a step by its name if it has waiting tasks. */
  find(name: string): ReadyStep | undefined {
    return this.steps.get(name);
  }

  /** Returns whether a step still has waiting tasks. */
  has(name: string): boolean {
    return this.steps.has(name);
  }

  /** Returns the number of listed waiting tasks of a step. */
  countWaiting(name: string): number {
    return this.steps.get(name)?.waiting.length ?? 0;
  }

  /**
   * Re-evaluates which steps of a job can start.
   *
   * @returns Time until the next occurrence is due in milliseconds, if there is one.
   */
  refresh(job: JobRecord | undefined, id: string, wallMs: number): number | undefined {
    for (const name of this.namesByJob.get(id) ?? []) this.steps.delete(name);
    this.namesByJob.delete(id);
    if (job?.status !== 'open') return undefined;
    const names = new Set<string>();
    this.namesByJob.set(id, names);
    const window = new ReadyWindow();
    const consider = (occurrence: number, step: number, check: DependencyCheck): void => {
      const ready = window.hasRoom(step) ? this.findReady(job, occurrence, step, check) : undefined;
      if (!ready) return;
      window.add(step, ready.waiting.length);
      this.steps.set(ready.name, ready);
      names.add(ready.name);
    };
    const started = this.listStarted(job);
    for (const occurrence of started) {
      const check = this.createDependencyCheck(job, occurrence);
      for (const step of job.spec.steps.keys()) consider(occurrence, step, check);
    }
    const haveAllBeenConsidered = this.considerUnstarted(job, wallMs, started, window, consider);
    // Otherwise the next change of the job makes room.
    return haveAllBeenConsidered ? timeToNextMs(job, wallMs) : undefined;
  }

  /** Returns the steps of a job without dependencies; the job need not be committed. */
  listInitial(job: JobRecord): ReadyStep[] {
    return job.spec.steps.flatMap((spec, step) =>
      spec.dependsOn.length === 0 ? [createReadyStep(job, 0, step)] : [],
    );
  }

  /** Returns the steps of a job whose dependencies have not completed but are fully started. */
  listUpcoming(job: JobRecord): ReadyStep[] {
    const { state } = this.opts;
    const upcoming: ReadyStep[] = [];
    if (job.status !== 'open') return upcoming;
    for (const occurrence of this.listStarted(job)) {
      const areDependenciesDone = this.createDependencyCheck(job, occurrence);
      job.spec.steps.forEach((spec, step) => {
        const isStarted = state.findStep(job, occurrence, step) !== undefined;
        if (isStarted || areDependenciesDone(spec)) return;
        const areDependenciesStarted = spec.dependsOn.every((earlier) => {
          const record = state.findStep(job, occurrence, earlier);
          return record?.tasks.every(({ isDone, runs }) => isDone || runs.length > 0);
        });
        if (!areDependenciesStarted) return;
        upcoming.push(createReadyStep(job, occurrence, step));
      });
    }
    return upcoming;
  }

  /** Looks each step of an occurrence up once, as a thousand steps may depend on it. */
  private createDependencyCheck(job: JobRecord, occurrence: number): DependencyCheck {
    const { state } = this.opts;
    const known: (boolean | undefined)[] = [];
    const isCompleted = (step: number): boolean => {
      known[step] ??= state.findStep(job, occurrence, step)?.isCompleted ?? false;
      return known[step];
    };
    return ({ dependsOn }) => dependsOn.every(isCompleted);
  }

  private canStart(ref: TaskRef, task: TaskRecord, spec: StepSpec): boolean {
    if (task.runs.length === 0) return true;
    if (!spec.allowsCopies || spec.isGang || task.runs.length >= MAX_CONCURRENT_RUNS) return false;
    if (isSuspected(task.crashes)) return false;
    return task.runs.every((run) => this.opts.isSuspect(ref, run));
  }

  /** Returns the occurrences of which a task has started and that have not completed. */
  private listStarted(job: JobRecord): Set<number> {
    const started = new Set<number>();
    for (const { occurrence } of job.steps.values()) {
      if (!this.opts.state.isReleased(job, occurrence)) started.add(occurrence);
    }
    return started;
  }

  /**
   * Considers the due occurrences of which nothing has started, as far as the window and the limit
   * of tasks in progress allow.
   *
   * @returns Whether these are all that are due.
   */
  private considerUnstarted(
    job: JobRecord,
    wallMs: number,
    started: ReadonlySet<number>,
    window: ReadyWindow,
    consider: (occurrence: number, step: number, check: DependencyCheck) => void,
  ): boolean {
    const { spec, completed = [] } = job;
    const initial = [...spec.steps.keys()].filter((step) => !spec.steps[step]!.dependsOn.length);
    const taskCount = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
    const maxInProgress = Math.max(1, Math.floor(MAX_TASKS_IN_PROGRESS / taskCount));
    const due = countDue(job, wallMs);
    let inProgress = started.size;
    let occurrence = skipOccurrences(completed, 0);
    for (; occurrence < due; occurrence = skipOccurrences(completed, occurrence + 1)) {
      if (started.has(occurrence)) continue;
      const hasRoom = initial.some((step) => window.hasRoom(step));
      if (!hasRoom || inProgress >= maxInProgress) return false;
      inProgress += 1;
      for (const step of initial) consider(occurrence, step, () => true);
    }
    return true;
  }

  private findReady(
    job: JobRecord,
    occurrence: number,
    step: number,
    areDependenciesDone: DependencyCheck,
  ): ReadyStep | undefined {
    const { state, pendingOf } = this.opts;
    const spec = job.spec.steps[step]!;
    const record = state.findStep(job, occurrence, step);
    if (record?.isCompleted || !areDependenciesDone(spec)) return undefined;
    const name = stepName(job.id, occurrence, step);
    const pending = pendingOf(name);
    const maxListed = countListed(spec);
    const waiting: number[] = [];
    for (let index = 0; index < spec.taskCount && waiting.length < maxListed; index += 1) {
      const task = record?.tasks[index];
      const ref = { jobId: job.id, occurrence, step, index };
      const isStartable = !task || (!task.isDone && this.canStart(ref, task, spec));
      if (isStartable && !pending?.has(index)) waiting.push(index);
    }
    // A gang restarts only when all runs of its previous attempt have ended.
    const isPartial = spec.isGang && waiting.length < spec.taskCount;
    if (waiting.length === 0 || isPartial) return undefined;
    return { name, job, occurrence, step, spec, waiting, dueMs: dueTimeMs(job, occurrence) };
  }
}
