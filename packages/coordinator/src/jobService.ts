import type {
  CancelParams,
  CancelResult,
  JobView,
  LookupParams,
  SubmitJobParams,
  SubmitJobResult,
} from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { AttemptOutcome, WorkUnit } from '@lagoongap/model/workload.js';
import type { RejectDecision, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { SubmitResult } from '@lagoongap/state/commands.js';
import { isSuspectUnit } from '@lagoongap/state/crashHistory.js';
import type { AttemptRecord, FinishedAttempt, JobRecord } from '@lagoongap/state/records.js';
import { isFinal } from '@lagoongap/state/taskTransitions.js';

import { admit } from './admission.js';
import type { CommitQueue } from './commitQueue.js';
import { isVisible } from './jobAccess.js';
import { JobCancellation } from './jobCancellation.js';
import type { JobMemory } from './jobMemory.js';
import { MAX_LOOKUP_WAIT_MS, MAX_SUSPECT_HOLD_MS } from './coordinatorTiming.js';
import type { PlacementPipeline } from './placementPipeline.js';
import type { SuspectTrials } from './suspectTrials.js';
import type { TaskDispatcher } from './taskDispatcher.js';

/** Initial delay before a service that ended is restarted; doubles with each failure. */
const SERVICE_RESTART_BASE_MS = 500;
const SERVICE_RESTART_MAX_MS = 60_000;

/** Outcomes that show that a task runs without crashing its endpoint. */
const HARMLESS_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  'succeeded',
  'failed',
  'checkpointed',
]);

/** Number of recently failed endpoints, per task and kind of failure, that a unit avoids. */
const MAX_EXCLUDED_ENDPOINTS = 3;

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  state: ClusterState;
  scheduler: Scheduler;
  pipeline: () => PlacementPipeline;
  dispatcher: () => TaskDispatcher;
  trials: SuspectTrials;
  commits: CommitQueue;
  memory: JobMemory;
}

/** Accepts, cancels and looks up jobs, and enqueues their tasks for each attempt. */
export class JobService {
  private readonly opts: JobServiceOptions;
  private readonly waiters = new Map<string, Set<() => void>>();
  /** Submissions that are being committed, by job id. */
  private readonly submitting = new Map<string, Promise<SubmitJobResult>>();
  private readonly restartTimers = new Set<NodeJS.Timeout>();
  /** Endpoints that failed to start a unit, by unit id. */
  private readonly failedStartEndpoints = new Map<string, string[]>();
  /** Monotonic time until which all tasks of a job are treated as suspects, by job id. */
  private readonly suspectUntilMs = new Map<string, number>();

  private readonly cancellation: JobCancellation;

  constructor(opts: JobServiceOptions) {
    this.opts = opts;
    const { state, commits, memory } = opts;
    this.cancellation = new JobCancellation({
      state,
      commits,
      maxJobBytes: memory.maxBytes,
      onCancelled: (job) => this.handleCancelled(job),
    });
  }

  /** Resolves when the job is committed. A repeated call with the same id gets the same result. */
  submit(params: SubmitJobParams): Promise<SubmitJobResult> {
    const { id } = params;
    if (this.opts.state.jobs.get(id)) return Promise.resolve({ id, duplicate: false });
    const pending = this.submitting.get(id);
    if (pending) return pending;
    const submission = this.commitSubmission(params).finally(() => this.submitting.delete(id));
    this.submitting.set(id, submission);
    return submission;
  }

  /** Cancels jobs in one commit and sends stop actions for their running tasks. */
  cancel(params: CancelParams): Promise<CancelResult> {
    return this.cancellation.cancel(params);
  }

  /** Returns a job once it has ended or `waitMs` has passed, whichever comes first. */
  async lookup(params: LookupParams): Promise<JobView> {
    const job = this.opts.state.jobs.get(params.id);
    if (!job || !isVisible(this.opts.state, job, params.keyId)) {
      throw new RefusalError({
        type: 'not-found',
        runState: 'not-run',
        message: `there is no job ${params.id}`,
      });
    }
    if (params.waitMs && !isFinal(job.state)) await this.waitForEnd(job.id, params.waitMs);
    return this.createView(this.opts.state.jobs.get(params.id) ?? job);
  }

  /** Enqueues the waiting tasks of a job: a gang as one unit, other jobs one unit per task. */
  enqueueWaiting(job: JobRecord): void {
    if (job.cancelled || job.stopping) return;
    const indexes = job.tasks.flatMap((task, i) => (task.state === 'waiting' ? [i] : []));
    if (indexes.length === 0) return;
    if (job.spec.kind === 'gang') this.enqueueUnit(job, job.id, indexes);
    else indexes.forEach((i) => this.enqueueUnit(job, `${job.id}/${i}`, [i]));
  }

  /** Records that an endpoint did not start an attempt, so that the next attempt avoids it. */
  recordNotRun(attempt: AttemptRecord): void {
    const job = this.opts.state.jobs.get(attempt.unitId);
    if (!job) return;
    const unitId = job.spec.kind === 'gang' ? job.id : `${job.id}/${attempt.taskIndex}`;
    const endpoints = this.failedStartEndpoints.get(unitId) ?? [];
    this.failedStartEndpoints.set(
      unitId,
      [...endpoints, attempt.endpointId].slice(-MAX_EXCLUDED_ENDPOINTS),
    );
  }

  /** Called when the end of an attempt of a job has been committed. */
  handleAttemptClosed(attempt: AttemptRecord, finished: FinishedAttempt): void {
    const job = this.opts.state.jobs.get(attempt.unitId);
    if (!job) return;
    if (isFinal(job.state)) {
      this.handleJobEnd(job);
      return;
    }
    if (HARMLESS_OUTCOMES.has(finished.outcome)) this.suspectUntilMs.delete(job.id);
    else if (finished.crash?.isSole && job.spec.kind !== 'gang') this.holdWaiting(job);
    if (job.cancelled || job.stopping) {
      this.stopRunning(job);
      return;
    }
    if (job.spec.kind === 'gang') {
      if (job.state === 'waiting') this.enqueueWaiting(job);
      return;
    }
    const task = job.tasks[attempt.taskIndex]!;
    if (task.state !== 'waiting') return;
    const delayMs = this.computeRestartDelay(job, task.failures, finished);
    if (delayMs === 0) this.enqueueUnit(job, `${job.id}/${attempt.taskIndex}`, [attempt.taskIndex]);
    else this.enqueueAfterDelay(job, attempt.taskIndex, delayMs);
  }

  handleRejected(unit: WorkUnit, jobId: string, decision: RejectDecision): void {
    this.opts.commits
      .commit({
        type: 'reject-jobs',
        jobs: [{ id: jobId, reason: decision.reason, message: decision.message }],
        wallTime: Date.now(),
      })
      .then(
        () => {
          const job = this.opts.state.jobs.get(jobId);
          if (job && isFinal(job.state)) this.handleJobEnd(job);
        },
        // Leadership was lost; the next leader decides on the unit again.
        () => {},
      );
  }

  /** Clears timers and resolves waiting lookups when leadership ends. */
  close(): void {
    for (const timer of this.restartTimers) clearTimeout(timer);
    for (const waiters of this.waiters.values()) waiters.forEach((wake) => wake());
    this.waiters.clear();
  }

  private async commitSubmission(params: SubmitJobParams): Promise<SubmitJobResult> {
    const { id, spec, keyId, idempotencyKey } = params;
    const { state, commits, scheduler, memory } = this.opts;
    const { team, priority } = admit(state.config, {
      keyId,
      queue: spec.queue,
      work: spec.work,
      kind: spec.kind,
      size: spec.size,
      tasks: spec.tasks,
      waiting: scheduler.countWaiting(spec.queue),
    });
    const admitted = memory.admit(id, { team, spec });
    const [result] = await commits
      .commit<SubmitResult[]>({
        type: 'submit-jobs',
        jobs: [{ id, team, spec, priority, idempotencyKey }],
        wallTime: Date.now(),
      })
      .finally(() => admitted[Symbol.dispose]());
    if (result!.status === 'duplicate') return { id: result!.id, duplicate: true };
    this.enqueueWaiting(state.jobs.get(id)!);
    return { id, duplicate: false };
  }

  private enqueueUnit(job: JobRecord, unitId: string, indexes: number[]): void {
    const sinceMs = performance.now();
    const isSuspect = (): boolean => this.isSuspect(job, indexes[0]!);
    if (!isSuspect()) {
      this.addToQueue(job, unitId, indexes, sinceMs);
      return;
    }
    const isWaiting = (): boolean =>
      !job.cancelled && indexes.every((i) => job.tasks[i]!.state === 'waiting');
    this.opts.trials.submit({
      unitId,
      isWaiting,
      isSuspect,
      enqueue: () => this.addToQueue(job, unitId, indexes, sinceMs),
    });
  }

  private isSuspect(job: JobRecord, taskIndex: number): boolean {
    const heldUntilMs = this.suspectUntilMs.get(job.id) ?? -Infinity;
    return isSuspectUnit(job, taskIndex) || performance.now() < heldUntilMs;
  }

  /** Holds back the other tasks of a job that alone is suspected of a crash. */
  private holdWaiting(job: JobRecord): void {
    this.suspectUntilMs.set(job.id, performance.now() + MAX_SUSPECT_HOLD_MS);
    job.tasks.forEach((task, i) => {
      const unitId = `${job.id}/${i}`;
      if (task.state === 'waiting' && this.opts.pipeline().cancel(unitId)) {
        this.enqueueUnit(job, unitId, [i]);
      }
    });
  }

  private addToQueue(job: JobRecord, unitId: string, indexes: number[], sinceMs: number): void {
    const { spec } = job;
    this.opts.pipeline().enqueue(
      {
        id: unitId,
        kind: spec.kind,
        team: job.team,
        queue: spec.queue,
        work: spec.work,
        priority: job.priority,
        size: spec.size,
        indexes,
        enqueuedAtMs: sinceMs,
        deadlineAtMs: spec.deadlineMs === undefined ? undefined : sinceMs + spec.deadlineMs,
        excluded: this.listExcluded(job, unitId, indexes),
      },
      { ownerId: job.id, noRepeat: spec.noRepeat },
    );
  }

  /**
   * Returns the endpoints to avoid, or none if this would leave no endpoint that can run the work.
   */
  private listExcluded(job: JobRecord, unitId: string, indexes: number[]): string[] {
    const failedOn = indexes.flatMap((i) => job.tasks[i]!.failedOn.slice(-MAX_EXCLUDED_ENDPOINTS));
    const excluded = new Set([...failedOn, ...(this.failedStartEndpoints.get(unitId) ?? [])]);
    if (excluded.size === 0) return [];
    for (const { announcement, leaving } of this.opts.state.endpoints.values()) {
      const isCandidate = !leaving && announcement.works.includes(job.spec.work);
      if (isCandidate && !excluded.has(announcement.id)) return [...excluded];
    }
    return [];
  }

  private enqueueAfterDelay(job: JobRecord, taskIndex: number, delayMs: number): void {
    const timer = setTimeout(() => {
      this.restartTimers.delete(timer);
      const current = this.opts.state.jobs.get(job.id);
      if (!current || current.cancelled || current.tasks[taskIndex]?.state !== 'waiting') return;
      this.enqueueUnit(current, `${job.id}/${taskIndex}`, [taskIndex]);
    }, delayMs);
    this.restartTimers.add(timer);
  }

  private computeRestartDelay(job: JobRecord, failures: number, finished: FinishedAttempt): number {
    if (job.spec.kind !== 'service') return 0;
    if (!['failed', 'succeeded'].includes(finished.outcome)) return 0;
    return Math.min(SERVICE_RESTART_MAX_MS, SERVICE_RESTART_BASE_MS * 2 ** Math.min(failures, 10));
  }

  private handleCancelled(job: JobRecord): void {
    this.opts.pipeline().cancel(job.id);
    job.tasks.forEach((_, i) => this.opts.pipeline().cancel(`${job.id}/${i}`));
    this.stopRunning(job);
    if (isFinal(job.state)) this.handleJobEnd(job);
  }

  private stopRunning(job: JobRecord): void {
    for (const task of job.tasks) {
      if (task.state !== 'running' || !task.attempt) continue;
      this.opts
        .dispatcher()
        .sendAction(task.attempt, 'stop')
        .catch(() => {});
    }
  }

  private handleJobEnd(job: JobRecord): void {
    this.failedStartEndpoints.delete(job.id);
    this.suspectUntilMs.delete(job.id);
    job.tasks.forEach((_, i) => this.failedStartEndpoints.delete(`${job.id}/${i}`));
    const waiters = this.waiters.get(job.id);
    this.waiters.delete(job.id);
    waiters?.forEach((wake) => wake());
  }

  private waitForEnd(jobId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiters = this.waiters.get(jobId) ?? new Set();
      this.waiters.set(jobId, waiters);
      let timer: NodeJS.Timeout | undefined;
      const wake = (): void => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, Math.min(waitMs, MAX_LOOKUP_WAIT_MS));
      waiters.add(wake);
    });
  }

  private createView(job: JobRecord): JobView {
    const { attempts } = this.opts.state;
    return {
      id: job.id,
      team: job.team,
      kind: job.spec.kind,
      queue: job.spec.queue,
      work: job.spec.work,
      state: job.state,
      cancelled: job.cancelled,
      message: job.message,
      tasks: job.tasks.map(({ state, attempt, failures, crashes, message }) => ({
        state,
        attempt,
        endpoint: attempt === undefined ? undefined : attempts.get(attempt)?.endpointId,
        failures,
        crashes: crashes?.length ?? 0,
        message,
      })),
    };
  }
}
