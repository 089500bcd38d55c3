import type { CommittedEntry, StateMachine } from '@lagoongap/consensus/replicatedLog.js';

import { EvacuationState, type EvacuationSnapshot } from '@lagoongap/model/evacuationState.js';
import { addCrash, isConvicted } from './crashRecord.js';
import { DurationModel, type DurationSnapshot } from './durationModel.js';
import { createCancellationTable, type EarlyCancellation } from './earlyCancellation.js';
import { stepKey, type StepSpec, type TaskRef } from './jobSpec.js';
import { addOccurrence, includesOccurrence, type OccurrenceRanges } from './occurrenceRanges.js';
import type {
  CancelCommand,
  EndedRun,
  ForgetCommand,
  StartedRun,
  SubmitCommand,
  WorkflowCommand,
} from './workflowCommand.js';
import { WorkflowError } from './workflowError.js';
import type {
  CrashHistory,
  EndpointRecord,
  JobRecord,
  StepRecord,
  TaskRecord,
  WaveRecord,
} from './workflowRecords.js';

/** Configuration document in force. */
export interface StoredConfig {
  /** Any whole number; a higher one replaces a lower one. */
  version: number;
  document: string;
}

/** Serialisable form of the state for snapshots. */
interface WorkflowSnapshot {
  /** Absent if there is none yet; earlier releases wrote an empty document in its place. */
  config?: StoredConfig;
  jobs: (Omit<JobRecord, 'steps'> & { steps: [string, StepRecord][] })[];
  endpoints: EndpointRecord[];
  waves: WaveRecord[];
  /** Absent in snapshots of earlier releases. */
  evacuations?: EvacuationSnapshot;
  durations?: DurationSnapshot;
  cancellations?: EarlyCancellation[];
}

/** Creates the record of a newly accepted job. */
export function createJob(command: SubmitCommand): JobRecord {
  const { id, queue, organisation, maxAttempts, acceptedMs, spec } = command;
  const occurrences = spec.schedule?.count ?? 1;
  return {
    id,
    queue,
    organisation,
    maxAttempts,
    acceptedMs,
    spec,
    status: 'open',
    hasStarted: false,
    openSteps: occurrences * spec.steps.length,
    steps: new Map(),
  };
}

/** Number of runs of a task for which a late report is awaited. */
const MAX_GIVEN_UP = 8;

function createTask(isDone: boolean): TaskRecord {
  return { isDone, lastRun: 0, failures: 0, runs: [] };
}

function hasEnded({ isCompleted, tasks }: StepRecord): boolean {
  return isCompleted && tasks.every(({ runs }) => runs.length === 0);
}

function cloneStep(step: StepRecord): StepRecord {
  const tasks = step.tasks.map((task) => ({
    ...task,
    runs: task.runs.map((run) => ({ ...run })),
  }));
  return { ...step, tasks };
}

function cloneRanges(ranges: OccurrenceRanges | undefined): OccurrenceRanges | undefined {
  return ranges?.map(([from, to]) => [from, to]);
}

/**
 * Replicated workflow state: configuration, jobs with their runs, endpoints, maintenance waves and
 * evacuations.
 * Commands are applied deterministically; timestamps in them are set by the leader.
 */
export class WorkflowState implements StateMachine {
  readonly jobs = new Map<string, JobRecord>();
  readonly endpoints = new Map<string, EndpointRecord>();
  readonly waves = new Map<number, WaveRecord>();
  readonly evacuations = new EvacuationState();
  /** Cancellations of jobs whose submissions have not arrived. */
  readonly cancellations = createCancellationTable();
  /** What tasks have taken; learned from the ends of runs. */
  readonly durations = new DurationModel();
  /** Absent until the first configuration is accepted. */
  config: StoredConfig | undefined;

  apply({ command }: CommittedEntry): unknown {
    return this.applyCommand(command as WorkflowCommand);
  }

  snapshot(): WorkflowSnapshot {
    return {
      config: this.config && { ...this.config },
      jobs: [...this.jobs.values()].map((job) => ({
        ...job,
        steps: [...job.steps].map(([key, step]) => [key, cloneStep(step)]),
        completed: cloneRanges(job.completed),
      })),
      endpoints: [...this.endpoints.values()],
      waves: [...this.waves.values()].map((wave) => ({ ...wave, begun: [...wave.begun] })),
      evacuations: this.evacuations.snapshot(),
      durations: this.durations.snapshot(),
      cancellations: this.cancellations.snapshot(),
    };
  }

  restore(snapshot: unknown): void {
    const { config, jobs, endpoints, waves, evacuations, durations, cancellations } =
      snapshot as WorkflowSnapshot;
    this.config = config?.document ? { ...config } : undefined;
    this.jobs.clear();
    for (const job of jobs) {
      const steps = new Map(job.steps.map(([key, step]) => [key, cloneStep(step)]));
      const restored = { ...job, steps, completed: cloneRanges(job.completed) };
      this.jobs.set(job.id, restored);
      // Earlier releases kept the records of completed occurrences.
      const occurrences = new Set(job.steps.map(([, { occurrence }]) => occurrence));
      for (const occurrence of occurrences) this.releaseOccurrence(restored, occurrence);
    }
    this.endpoints.clear();
    for (const endpoint of endpoints) this.endpoints.set(endpoint.id, endpoint);
    this.waves.clear();
    for (const wave of waves) this.waves.set(wave.number, { ...wave, begun: [...wave.begun] });
    this.evacuations.restore(evacuations);
    this.durations.restore(durations);
    this.cancellations.restore(cancellations);
  }

  /** Returns whether an occurrence has completed and all its runs have ended. */
  isReleased(job: JobRecord, occurrence: number): boolean {
    return includesOccurrence(job.completed ?? [], occurrence);
  }

  /** Returns the record of a step; undefined before its first start and after its release. */
  findStep(job: JobRecord, occurrence: number, step: number): StepRecord | undefined {
    return job.steps.get(stepKey(occurrence, step));
  }

  /** Returns the record of a task, or undefined if the job is unknown or the step never started. */
  findTask({ jobId, occurrence, step, index }: TaskRef): TaskRecord | undefined {
    const job = this.jobs.get(jobId);
    return job && this.findStep(job, occurrence, step)?.tasks[index];
  }

  /** Returns whether a run was given up without a report of its end. */
  isGivenUp(ref: TaskRef, run: number): boolean {
    return this.findTask(ref)?.givenUp?.includes(run) ?? false;
  }

  /** Returns the specification of a step, or undefined if the job is unknown. */
  findSpec({ jobId, step }: TaskRef): StepSpec | undefined {
    return this.jobs.get(jobId)?.spec.steps[step];
  }

  /** Returns the crashes of endpoints that a task was running on. */
  findCrashes(ref: TaskRef): CrashHistory | undefined {
    return this.findTask(ref)?.crashes;
  }

  private applyCommand(command: WorkflowCommand): unknown {
    switch (command.type) {
      case 'configure':
        if (this.config && command.version <= this.config.version) return false;
        this.config = { version: command.version, document: command.document };
        return true;
      case 'submit':
        return this.submit(command);
      case 'cancel':
        return this.cancel(command);
      case 'start':
        for (const run of command.runs) this.start(run);
        return undefined;
      case 'end':
        for (const run of command.runs) this.end(run);
        return undefined;
      case 'register':
        this.endpoints.set(command.endpoint.id, command.endpoint);
        return undefined;
      case 'unregister':
        this.endpoints.delete(command.id);
        return undefined;
      case 'forget':
        return this.forget(command);
      case 'open-wave':
        this.openWave(command);
        return undefined;
      case 'begin-maintenance':
        this.beginMaintenance(command.number, command.instance);
        return undefined;
      case 'close-wave':
        this.closeWave(command.number);
        return undefined;
      case 'begin-evacuation':
      case 'end-evacuation':
        return this.evacuations.apply(command);
      default:
        throw new WorkflowError(`unknown command ${JSON.stringify(command)}`);
    }
  }

  /** Returns whether the job was cancelled before its submission arrived. */
  private submit(command: SubmitCommand): boolean {
    if (this.jobs.has(command.id)) return false;
    const job = createJob(command);
    const isLate = this.cancellations.delete(this.cancellations.keyOf(command));
    if (isLate) job.status = 'cancelled';
    this.jobs.set(job.id, job);
    return isLate;
  }

  private cancel({ id, queue, organisation }: CancelCommand): void {
    const job = this.jobs.get(id);
    const isInQueue = queue === undefined || job?.queue === queue;
    if (job && isInQueue) {
      if (job.status === 'open') job.status = 'cancelled';
    } else if (queue !== undefined && organisation !== undefined) {
      this.cancellations.add({ id, queue, organisation });
    }
  }

  private forget({ ids, cancellations = [] }: ForgetCommand): void {
    for (const id of ids) this.jobs.delete(id);
    for (const key of cancellations) this.cancellations.delete(key);
  }

  private start({ task, run, endpoint }: StartedRun): void {
    const job = this.jobs.get(task.jobId);
    if (!job) return;
    job.hasStarted = true;
    const record = this.getOrCreateStep(job, task.occurrence, task.step).tasks[task.index];
    if (!record) throw new WorkflowError(`job ${job.id} has no task ${task.step}.${task.index}`);
    record.lastRun = Math.max(record.lastRun, run);
    record.runs.push({ run, endpoint });
  }

  private end(ended: EndedRun): void {
    const job = this.jobs.get(ended.task.jobId);
    const task = this.findTask(ended.task);
    if (!job || !task) return;
    const step = this.getOrCreateStep(job, ended.task.occurrence, ended.task.step);
    const spec = job.spec.steps[ended.task.step]!;
    if (ended.crash) this.countCrash(job, task, ended);
    const position = task.runs.findIndex(({ run }) => run === ended.run);
    if (position >= 0) {
      const { endpoint } = task.runs[position]!;
      this.recordDuration(job, spec, endpoint, ended);
      this.endActive(task, position, ended);
    } else if (!this.endGivenUp(task, ended)) return;
    if (ended.outcome === 'done' && !spec.isService) this.complete(job, step, spec, task);
    if (ended.outcome === 'failed' && !spec.isService) this.countFailure(job, step, spec, ended);
    if (step.isCompleted) this.releaseOccurrence(job, ended.task.occurrence);
  }

  private recordDuration(
    { queue, organisation }: JobRecord,
    spec: StepSpec,
    endpoint: string,
    { outcome, durationMs }: EndedRun,
  ): void {
    if (outcome !== 'done' || durationMs === undefined) return;
    const kind = this.endpoints.get(endpoint)?.kind ?? '';
    this.durations.record({ queue, organisation, spec }, kind, durationMs);
  }

  private endActive(task: TaskRecord, position: number, { run, outcome, checkpoint }: EndedRun) {
    task.runs.splice(position, 1);
    if (checkpoint) task.checkpoint = checkpoint;
    if (outcome === 'lost') task.givenUp = [...(task.givenUp ?? []), run].slice(-MAX_GIVEN_UP);
  }

  /** Records the late report of a run that was given up; returns whether the run was one. */
  private endGivenUp(task: TaskRecord, { run, outcome, checkpoint }: EndedRun): boolean {
    if (outcome === 'lost' || !task.givenUp?.includes(run)) return false;
    task.givenUp = task.givenUp.filter((it) => it !== run);
    // A later run may have written a newer one.
    if (checkpoint) task.checkpoint ??= checkpoint;
    return true;
  }

  private complete(job: JobRecord, step: StepRecord, spec: StepSpec, task: TaskRecord): void {
    const completed = spec.isGang ? step.tasks : [task];
    for (const record of completed) {
      if (!record.isDone) step.doneCount += 1;
      record.isDone = true;
    }
    if (step.doneCount < spec.taskCount || job.status !== 'open') return;
    // Speculative copies may succeed as well, but a step completes only once.
    if (!step.isCompleted) job.openSteps -= 1;
    step.isCompleted = true;
    if (job.openSteps === 0) job.status = 'completed';
  }

  private countFailure(job: JobRecord, step: StepRecord, spec: StepSpec, ended: EndedRun): void {
    const task = step.tasks[ended.task.index]!;
    if (task.isDone) return;
    if (spec.isGang) {
      if (ended.run <= step.lastFailedGangRun) return;
      step.lastFailedGangRun = ended.run;
      step.gangFailures += 1;
      if (step.gangFailures >= job.maxAttempts && job.status === 'open') job.status = 'failed';
      return;
    }
    task.failures += 1;
    if (task.failures >= job.maxAttempts && job.status === 'open') job.status = 'failed';
  }

  private countCrash(job: JobRecord, task: TaskRecord, ended: EndedRun): void {
    if (task.isDone) return;
    // A gang breaks as a whole, but only the members on the crashed endpoint can be the cause.
    task.crashes = addCrash(task.crashes, ended.run, ended.crash!);
    if (isConvicted(task.crashes) && job.status === 'open') job.status = 'failed';
  }

  private getOrCreateStep(job: JobRecord, occurrence: number, step: number): StepRecord {
    const key = stepKey(occurrence, step);
    const known = job.steps.get(key);
    if (known) return known;
    const spec = job.spec.steps[step];
    if (!spec) throw new WorkflowError(`job ${job.id} has no step ${step}`);
    // A copy whose start was decided before the occurrence ended still has to be tracked.
    const isCompleted = this.isReleased(job, occurrence);
    const created: StepRecord = {
      occurrence,
      step,
      doneCount: isCompleted ? spec.taskCount : 0,
      isCompleted,
      gangFailures: 0,
      lastFailedGangRun: 0,
      tasks: Array.from({ length: spec.taskCount }, () => createTask(isCompleted)),
    };
    job.steps.set(key, created);
    return created;
  }

  /**
   * Removes the records of an occurrence that has completed and whose runs have all ended, so that
   * the state of a recurring job does not grow with the occurrences that are over.
   */
  private releaseOccurrence(job: JobRecord, occurrence: number): void {
    if (!job.spec.schedule) return;
    const wasReleased = this.isReleased(job, occurrence);
    const keys = job.spec.steps.map((_, step) => stepKey(occurrence, step));
    const isOver = keys.every((key) => {
      const record = job.steps.get(key);
      return record ? hasEnded(record) : wasReleased;
    });
    if (!isOver) return;
    for (const key of keys) job.steps.delete(key);
    job.completed ??= [];
    addOccurrence(job.completed, occurrence);
  }

  private openWave(command: Extract<WorkflowCommand, { type: 'open-wave' }>): void {
    if (this.waves.has(command.number)) return;
    const { number, instances, withinMs, maxDown } = command;
    this.waves.set(number, {
      number,
      instances,
      withinMs,
      maxDown,
      begun: [],
      isCompleted: instances.length === 0,
    });
  }

  private beginMaintenance(number: number, instance: string): void {
    const wave = this.waves.get(number);
    if (wave && !wave.begun.includes(instance)) wave.begun.push(instance);
  }

  private closeWave(number: number): void {
    const wave = this.waves.get(number);
    // Only its state is still asked for.
    if (wave) Object.assign(wave, { isCompleted: true, instances: [], begun: [] });
  }
}
