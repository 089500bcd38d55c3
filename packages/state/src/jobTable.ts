import type {
  CancelJobsCommand,
  CancellationScope,
  RejectJobsCommand,
  SubmittedJob,
  SubmitResult,
} from './commands.js';
import { describeCrashes, hasCrashedTooOften, recordCrash, withdrawCrash } from './crashHistory.js';
import type { IdempotencyIndex } from './idempotencyIndex.js';
import type { AttemptRecord, FinishedAttempt, JobRecord, TaskRecord } from './records.js';
import { EarlyCancellations, type EarlyCancellation } from './earlyCancellations.js';
import { FINISHED_RETENTION_MS, MAX_FINISHED_JOBS } from './retention.js';
import { RetentionQueue } from './retentionQueue.js';
import { isFinal, resolveJobState, resolveTaskState } from './taskTransitions.js';

function createTask(): TaskRecord {
  return { state: 'waiting', failures: 0, failedOn: [] };
}

/** Returns whether a queue takes work from every caller. */
export type IsQueueOpen = (queue: string) => boolean;

/** Returns whether a caller may cancel a job. */
function isInScope(
  { team, spec }: JobRecord,
  caller: CancellationScope,
  isQueueOpen: IsQueueOpen,
): boolean {
  switch (caller.scope) {
    case 'any':
      return true;
    case 'team':
      return caller.team === team;
    default:
      return isQueueOpen(spec.queue);
  }
}

/** Returns whether a task of a batch job has failed because it crashed its endpoints. */
function hasCrashedTask(job: JobRecord): boolean {
  if (job.spec.kind !== 'batch') return false;
  return job.tasks.some(({ state, crashes }) => state === 'failed' && hasCrashedTooOften(crashes));
}

function copyJob(job: JobRecord): JobRecord {
  const tasks = job.tasks.map((task) => ({ ...task, failedOn: [...task.failedOn] }));
  return { ...job, tasks };
}

/** Serialisable form for snapshots. */
interface JobTableSnapshot {
  jobs: JobRecord[];
  finished: string[];
  /** Absent in snapshots of earlier releases. */
  earlyCancellations?: EarlyCancellation[];
}

/** Jobs and their tasks. */
export class JobTable {
  private readonly jobs = new Map<string, JobRecord>();
  private readonly finished = new RetentionQueue();
  private readonly idempotency: IdempotencyIndex;
  /** Cancellations of jobs whose submissions have not arrived. */
  readonly earlyCancellations = new EarlyCancellations();

  constructor(idempotency: IdempotencyIndex) {
    this.idempotency = idempotency;
  }

  get(id: string): JobRecord | undefined {
    return this.jobs.get(id);
  }

  values(): IterableIterator<JobRecord> {
    return this.jobs.values();
  }

  /**
   * Adds a job unless its identifier or idempotency key has already been used. A job that was
   * cancelled before its submission arrived ends at once.
   */
  submit(submitted: SubmittedJob, isQueueOpen: boolean, wallTime: number): SubmitResult {
    const { id, team, spec, priority, idempotencyKey } = submitted;
    if (this.jobs.has(id)) return { status: 'duplicate', id };
    if (idempotencyKey !== undefined) {
      const existingId = this.idempotency.find(team, idempotencyKey);
      if (existingId !== undefined) return { status: 'duplicate', id: existingId };
      this.idempotency.add(team, idempotencyKey, id);
    }
    const tasks = Array.from({ length: spec.tasks }, createTask);
    const job: JobRecord = {
      id,
      team,
      spec,
      priority,
      state: 'waiting',
      cancelled: false,
      stopping: false,
      tasks,
      idempotencyKey,
      submittedAt: wallTime,
    };
    this.jobs.set(id, job);
    const isCancelled = this.earlyCancellations.take({ id, team, isQueueOpen }, wallTime);
    if (isCancelled) this.cancelJob(job, wallTime);
    return { status: 'accepted', id };
  }

  /** Marks jobs as cancelled and returns the identifiers of those that have changed. */
  cancel({ jobs, early, wallTime }: CancelJobsCommand, isQueueOpen: IsQueueOpen): string[] {
    const known = [...jobs];
    for (const id of early?.jobs ?? []) {
      const job = this.jobs.get(id);
      if (!job) this.recordEarlyCancellation(id, early!, wallTime);
      else if (isInScope(job, early!, isQueueOpen)) known.push(id);
    }
    return known.filter((id) => {
      const job = this.jobs.get(id);
      return job !== undefined && this.cancelJob(job, wallTime);
    });
  }

  /** Ends the waiting tasks of jobs that can never run or whose deadline has expired. */
  reject(command: RejectJobsCommand): void {
    for (const { id, reason, message } of command.jobs) {
      const job = this.jobs.get(id);
      if (!job || isFinal(job.state)) continue;
      for (const task of job.tasks) {
        if (task.state === 'waiting')
          task.state = reason === 'impossible' ? 'impossible' : 'failed';
      }
      job.message = message;
      this.updateJobState(job, command.wallTime);
    }
  }

  /** Returns whether a task may be started now. */
  canStart(jobId: string, taskIndex: number): boolean {
    const job = this.jobs.get(jobId);
    const task = job?.tasks[taskIndex];
    return job !== undefined && !job.cancelled && !job.stopping && task?.state === 'waiting';
  }

  start(attempt: AttemptRecord): void {
    const job = this.jobs.get(attempt.unitId)!;
    const task = job.tasks[attempt.taskIndex]!;
    task.state = 'running';
    task.attempt = attempt.id;
    job.state = 'running';
  }

  /** Records the outcome of an attempt and updates the state of its task and job. */
  finish(attempt: AttemptRecord, finished: FinishedAttempt, wallTime: number): void {
    const job = this.jobs.get(attempt.unitId);
    const task = job?.tasks[attempt.taskIndex];
    if (!job || !task || task.attempt !== attempt.id) return;
    task.attempt = undefined;
    task.message = finished.message;
    if (finished.checkpoint !== undefined) task.checkpoint = finished.checkpoint;
    if (finished.outcome === 'failed') {
      task.failures += 1;
      task.failedOn.push(attempt.endpointId);
    }
    this.recordCrash(job, task, finished);
    task.state = resolveTaskState(job, task, finished);
    if (job.spec.kind === 'gang') this.updateGangStopping(job);
    this.updateJobState(job, wallTime);
  }

  /** Withdraws the crash of an attempt whose endpoint turned out to have kept running. */
  withdrawCrash(jobId: string, taskIndex: number, attempt: string): void {
    const job = this.jobs.get(jobId);
    const task = job?.tasks[taskIndex];
    if (!job || !task || isFinal(job.state)) return;
    if (task.crashes) task.crashes = withdrawCrash(task.crashes, attempt);
  }

  snapshot(): JobTableSnapshot {
    return {
      jobs: [...this.jobs.values()].map(copyJob),
      finished: this.finished.snapshot(),
      earlyCancellations: this.earlyCancellations.snapshot(),
    };
  }

  restore(snapshot: JobTableSnapshot): void {
    this.earlyCancellations.restore(snapshot.earlyCancellations);
    this.jobs.clear();
    for (const job of snapshot.jobs) {
      this.jobs.set(job.id, copyJob(job));
      if (job.idempotencyKey !== undefined) {
        this.idempotency.add(job.team, job.idempotencyKey, job.id);
      }
    }
    this.finished.restore(snapshot.finished);
  }

  private recordEarlyCancellation(
    id: string,
    { scope, team }: CancellationScope,
    cancelledAt: number,
  ): void {
    this.earlyCancellations.add({ id, scope, team, cancelledAt });
  }

  /** Returns whether the job has changed. */
  private cancelJob(job: JobRecord, wallTime: number): boolean {
    if (job.cancelled || isFinal(job.state)) return false;
    job.cancelled = true;
    for (const task of job.tasks) {
      if (task.state === 'waiting') task.state = 'cancelled';
    }
    this.updateJobState(job, wallTime);
    return true;
  }

  private recordCrash(job: JobRecord, task: TaskRecord, finished: FinishedAttempt): void {
    const crashes = recordCrash(task.crashes, finished);
    if (crashes !== task.crashes) task.crashes = crashes;
    if (!finished.crash || job.cancelled || !hasCrashedTooOften(crashes)) return;
    task.message = describeCrashes(crashes);
    job.message = task.message;
  }

  /**
   * Marks a gang for stopping when one of its tasks has ended without success. The mark is
   * removed once no task is running, so that the gang can start again.
   */
  private updateGangStopping(job: JobRecord): void {
    const isAnyRunning = job.tasks.some((task) => task.state === 'running');
    if (!isAnyRunning) {
      job.stopping = false;
      return;
    }
    const isIncomplete = job.tasks.some((task) => !['running', 'succeeded'].includes(task.state));
    if (isIncomplete) job.stopping = true;
  }

  private updateJobState(job: JobRecord, wallTime: number): void {
    job.state = resolveJobState(job);
    const hasFailed = job.tasks.some((task) => ['failed', 'unknown'].includes(task.state));
    if (hasFailed && (job.state === 'waiting' || hasCrashedTask(job))) {
      // A failed task determines the state of the job, so its waiting tasks are cancelled.
      for (const task of job.tasks) {
        if (task.state === 'waiting') task.state = 'cancelled';
      }
      job.state = resolveJobState(job);
    }
    if (!isFinal(job.state) || job.finishedAt !== undefined) return;
    job.finishedAt = wallTime;
    this.finished.push(job.id);
    this.prune(wallTime);
  }

  private prune(wallTime: number): void {
    const expiryTime = wallTime - FINISHED_RETENTION_MS;
    this.finished.prune({
      max: MAX_FINISHED_JOBS,
      isExpired: (id) => (this.jobs.get(id)?.finishedAt ?? 0) < expiryTime,
      drop: (id) => this.drop(id),
    });
  }

  private drop(id: string): void {
    const job = this.jobs.get(id);
    this.jobs.delete(id);
    if (job?.idempotencyKey === undefined) return;
    this.idempotency.remove(job.team, job.idempotencyKey);
  }
}
