import { isSuspected } from './crashRecord.js';
import { stepName, type StepSpec, type TaskRef } from './jobSpec.js';
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
  /** Indexes of the waiting tasks. */
  waiting: number[];
  /** Due time of the job or its occurrence, Unix milliseconds. */
  dueMs: number;
  /** The waiting tasks belong to a service and have run before. */
  isRestart?: boolean;
}

/** Maximum concurrent runs of a task, the speculative copy included. */
const MAX_CONCURRENT_RUNS = 2;

/** Returns the due time of an occurrence, Unix milliseconds. */
export function dueTimeMs(job: JobRecord, occurrence: number): number {
  const { schedule } = job.spec;
  return schedule ? schedule.firstMs + occurrence * schedule.intervalMs : job.acceptedMs;
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
    waiting: Array.from({ length: spec.taskCount }, (_, index) => index),
    dueMs: dueTimeMs(job, occurrence),
  };
}

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
  /** Returns whether a start of the task is planned but not committed yet. */
  isPending: (step: string, index: number) => boolean;
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

  /** Returns whether a step still has waiting tasks. */
  has(name: string): boolean {
    return this.steps.has(name);
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
    const count = job.spec.schedule?.count ?? 1;
    for (let occurrence = 0; occurrence < count; occurrence += 1) {
      const dueMs = dueTimeMs(job, occurrence);
      if (job.spec.schedule && dueMs > wallMs) {
        this.namesByJob.set(id, names);
        return dueMs - wallMs;
      }
      for (let step = 0; step < job.spec.steps.length; step += 1) {
        const ready = this.findReady(job, occurrence, step, dueMs);
        if (!ready) continue;
        this.steps.set(ready.name, ready);
        names.add(ready.name);
      }
    }
    this.namesByJob.set(id, names);
    return undefined;
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
    for (const { occurrence } of job.steps.values()) {
      job.spec.steps.forEach((spec, step) => {
        const isStarted = state.findStep(job, occurrence, step) !== undefined;
        if (isStarted || this.areDependenciesDone(job, occurrence, spec)) return;
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

  /** Returns whether all dependencies of a step have completed. */
  areDependenciesDone(job: JobRecord, occurrence: number, spec: StepSpec): boolean {
    const { state } = this.opts;
    return spec.dependsOn.every((step) => state.findStep(job, occurrence, step)?.isCompleted);
  }

  private canStart(ref: TaskRef, task: TaskRecord, spec: StepSpec): boolean {
    if (task.runs.length === 0) return true;
    if (!spec.allowsCopies || spec.isGang || task.runs.length >= MAX_CONCURRENT_RUNS) return false;
    if (isSuspected(task.crashes)) return false;
    return task.runs.every((run) => this.opts.isSuspect(ref, run));
  }

  private findReady(
    job: JobRecord,
    occurrence: number,
    step: number,
    dueMs: number,
  ): ReadyStep | undefined {
    const { state, isPending } = this.opts;
    const spec = job.spec.steps[step]!;
    const record = state.findStep(job, occurrence, step);
    if (record?.isCompleted || !this.areDependenciesDone(job, occurrence, spec)) return undefined;
    const name = stepName(job.id, occurrence, step);
    const waiting: number[] = [];
    for (let index = 0; index < spec.taskCount; index += 1) {
      const task = record?.tasks[index];
      const ref = { jobId: job.id, occurrence, step, index };
      const isStartable = !task || (!task.isDone && this.canStart(ref, task, spec));
      if (isStartable && !isPending(name, index)) waiting.push(index);
    }
    // A gang restarts only when all runs of its previous attempt have ended.
    const isPartial = spec.isGang && waiting.length < spec.taskCount;
    if (waiting.length === 0 || isPartial) return undefined;
    return { name, job, occurrence, step, spec, waiting, dueMs };
  }
}
