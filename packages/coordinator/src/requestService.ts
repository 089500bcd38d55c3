import type {
  AcquireParams,
  AcquireResult,
  Release,
  ReleaseParams,
  RequestView,
} from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { AttemptOutcome, WorkUnit } from '@lagoongap/model/workload.js';
import type { RejectDecision, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { StartAttemptResult, StartedAttempt } from '@lagoongap/state/commands.js';
import type { AttemptRecord, RequestRecord } from '@lagoongap/state/records.js';
import { describeCrashes, hasCrashedTooOften } from '@lagoongap/state/crashHistory.js';
import { isFinal } from '@lagoongap/state/taskTransitions.js';

import { admit } from './admission.js';
import type { AttemptCloser } from './attemptCloser.js';
import type { CommitQueue } from './commitQueue.js';
import { MISSING_ATTEMPT_GRACE_MS } from './coordinatorTiming.js';
import { ExpiringSet } from './expiringSet.js';
import type { PlacementPipeline } from './placementPipeline.js';

interface Waiter {
  resolve: (result: AcquireResult) => void;
  reject: (err: Error) => void;
}

/** Time for which late repetitions of `acquire` for an abandoned request are refused. */
const ABANDONED_REQUEST_RETENTION_MS = 120_000;

/**
 * Time without another `acquire` after which a request between two attempts is abandoned, because
 * its gateway has failed.
 */
const IDLE_REQUEST_TIMEOUT_MS = 60_000;

/** Options of {@link RequestService}. */
export interface RequestServiceOptions {
  state: ClusterState;
  scheduler: Scheduler;
  pipeline: () => PlacementPipeline;
  closer: AttemptCloser;
  commits: CommitQueue;
  /** Returns whether a gateway process may still dispatch. */
  isOwnerAlive: (owner: string) => boolean;
  /** Called with the result of each exchange, for endpoint health. */
  onReleased: (attempt: AttemptRecord, release: Release) => void;
}

function explainLastAttempt({ crashes }: RequestRecord): string {
  return hasCrashedTooOften(crashes)
    ? describeCrashes(crashes)
    : 'the attempt may have run; it is not repeated';
}

/** Places the requests that gateways hold, and records their outcomes. */
export class RequestService {
  private readonly opts: RequestServiceOptions;
  private readonly waiters = new Map<string, Waiter[]>();
  /** Calls of `acquire` that wait until the previous attempt, which may still run, is closed. */
  private readonly deferred = new Map<string, AcquireParams>();
  /** Monotonic time at which a gateway reported an attempt as unconfirmed, by attempt id. */
  private readonly unconfirmedAtMs = new Map<string, number>();
  /** Calls of `acquire` whose placement is not settled yet, by request id. */
  private readonly enqueued = new Map<string, AcquireParams>();
  private readonly deadlinesAtMs = new Map<string, number>();
  /** Monotonic time since which a request is between two attempts, by request id. */
  private readonly idleSinceMs = new Map<string, number>();
  private readonly abandoned = new ExpiringSet(ABANDONED_REQUEST_RETENTION_MS);
  private readonly startedAtMs = performance.now();

  constructor(opts: RequestServiceOptions) {
    this.opts = opts;
    for (const request of opts.state.requests.values()) {
      if (request.state === 'waiting') this.idleSinceMs.set(request.id, performance.now());
    }
  }

  /** Resolves with a committed placement; a request has at most one at a time. */
  acquire(params: AcquireParams): Promise<AcquireResult> {
    const { requestId } = params;
    this.idleSinceMs.delete(requestId);
    this.assertNotAbandoned(requestId);
    this.assertNotDuplicate(params);
    const record = this.opts.state.requests.get(requestId);
    const running = record?.attempt && this.opts.state.attempts.get(record.attempt);
    if (running && !this.unconfirmedAtMs.has(running.id)) {
      return Promise.resolve(this.createResult(running));
    }
    return new Promise<AcquireResult>((resolve, reject) => {
      const waiters = this.waiters.get(requestId);
      if (waiters) {
        waiters.push({ resolve, reject });
        return;
      }
      this.waiters.set(requestId, [{ resolve, reject }]);
      if (running) this.deferred.set(requestId, params);
      else this.enqueue(params);
    });
  }

  /** Records the outcomes of attempts; resolves when they are committed. */
  async release(params: ReleaseParams): Promise<void> {
    await Promise.all(params.releases.map((release) => this.releaseOne(release)));
  }

  lookup(id: string): RequestView | undefined {
    const record = this.opts.state.requests.get(id);
    if (!record) return undefined;
    const { team, queue, work, state, attempts, crashes = [] } = record;
    return { id, team, queue, work, state, attempts, crashes: crashes.length };
  }

  handleStarted(attempt: AttemptRecord): void {
    const { requestId, isAbandoned } = this.findRequest(attempt);
    if (isAbandoned) {
      this.opts.closer
        .close([{ attempt: attempt.id, outcome: 'not-run', final: true }])
        .catch(() => {});
      return;
    }
    const params = this.enqueued.get(requestId);
    if (params && this.opts.state.isEvacuated(attempt.endpointId)) {
      // Decided before the commit of the evacuation; placed again once this attempt is closed.
      this.deferred.set(requestId, params);
      const release = { requestId, attempt: attempt.id, outcome: 'not-run', final: false } as const;
      this.opts.onReleased(attempt, release);
      this.opts.closer.close([{ attempt: attempt.id, outcome: 'not-run' }]).catch(() => {});
      return;
    }
    this.settleWaiters(requestId, (waiter) => waiter.resolve(this.createResult(attempt)));
  }

  handleObsolete(attempt: StartedAttempt, result: StartAttemptResult): void {
    const message =
      result.status === 'duplicate'
        ? `the idempotency key was used by request ${result.id}`
        : 'the request has already ended';
    this.rejectWaiters(attempt.unitId, 'duplicate', message);
  }

  handleRejected(unit: WorkUnit, decision: RejectDecision): void {
    this.rejectWaiters(unit.id, decision.reason, decision.message);
    this.abandonRequest(unit.id, 'failed');
  }

  /** Called when the end of an attempt of a request has been committed. */
  handleAttemptClosed(attempt: AttemptRecord): void {
    this.unconfirmedAtMs.delete(attempt.id);
    this.deadlinesAtMs.delete(attempt.unitId);
    const params = this.deferred.get(attempt.unitId);
    if (!params) {
      const record = this.opts.state.requests.get(attempt.unitId);
      if (record?.state === 'waiting') this.idleSinceMs.set(attempt.unitId, performance.now());
      return;
    }
    this.deferred.delete(attempt.unitId);
    const record = this.opts.state.requests.get(attempt.unitId);
    if (record && isFinal(record.state)) {
      this.rejectWaiters(attempt.unitId, 'answer-lost', explainLastAttempt(record));
    } else {
      this.enqueue(params);
    }
  }

  /**
   * Returns whether an attempt that is missing from a heartbeat can be declared lost: its gateway
   * has failed or has reported it as unconfirmed, or its deadline has passed.
   */
  canDeclareLost(attempt: AttemptRecord, nowMs: number): boolean {
    const unconfirmedAtMs = this.unconfirmedAtMs.get(attempt.id);
    if (unconfirmedAtMs !== undefined) return nowMs - unconfirmedAtMs > MISSING_ATTEMPT_GRACE_MS;
    if (attempt.owner === undefined || !this.opts.isOwnerAlive(attempt.owner)) return true;
    // An attempt started under a previous leader gets its full time again from the election on.
    const deadlineAtMs =
      this.deadlinesAtMs.get(attempt.unitId) ?? this.startedAtMs + (attempt.deadlineMs ?? 0);
    return nowMs > deadlineAtMs + MISSING_ATTEMPT_GRACE_MS;
  }

  /** Returns whether a gateway waits for another attempt until the previous one is closed. */
  isDeferred(requestId: string): boolean {
    return this.deferred.has(requestId);
  }

  /** Abandons requests whose gateway has not called `acquire` again in time. */
  sweep(nowMs: number): void {
    for (const [requestId, idleSinceMs] of this.idleSinceMs) {
      if (nowMs - idleSinceMs < IDLE_REQUEST_TIMEOUT_MS) break;
      this.idleSinceMs.delete(requestId);
      this.abandonRequest(requestId, 'failed');
    }
  }

  /**
   * Rejects all waiting calls when leadership ends; gateways repeat them at the next leader. A
   * request that no longer waits in its queue may have a placement that will be committed.
   */
  close(): void {
    for (const [requestId, waiters] of this.waiters) {
      const runState = this.opts.pipeline().cancel(requestId) ? 'not-run' : 'unknown';
      const message = 'this instance is no longer the leader';
      const err = new RefusalError({ type: 'no-leader', runState, message });
      for (const waiter of waiters) waiter.reject(err);
    }
    this.waiters.clear();
  }

  private enqueue(params: AcquireParams): void {
    try {
      const { team, priority } = admit(this.opts.state.config, {
        ...params,
        kind: 'request',
        tasks: 1,
        waiting: this.opts.scheduler.countWaiting(params.queue),
      });
      const nowMs = performance.now();
      const deadlineAtMs = nowMs + params.deadlineMs;
      this.deadlinesAtMs.set(params.requestId, deadlineAtMs);
      this.enqueued.set(params.requestId, params);
      const { requestId, queue, work, size, excluded, noRepeat, owner, idempotencyKey } = params;
      this.opts.pipeline().enqueue(
        {
          id: requestId,
          kind: 'request',
          team,
          queue,
          work,
          priority,
          size,
          indexes: [0],
          enqueuedAtMs: nowMs,
          deadlineAtMs,
          excluded,
        },
        { ownerId: requestId, noRepeat, owner, idempotencyKey, deadlineMs: params.deadlineMs },
      );
    } catch (err) {
      this.settleWaiters(params.requestId, (waiter) => waiter.reject(err as Error));
    }
  }

  private async releaseOne(release: Release): Promise<void> {
    const { requestId, outcome, final } = release;
    if (final && outcome === 'not-run') this.cancelWaiting(requestId);
    if (final && release.attempt === undefined) await this.commitAbandoned(requestId);
    const record = this.opts.state.requests.get(requestId);
    const attemptId = release.attempt ?? record?.attempt;
    const attempt = attemptId === undefined ? undefined : this.opts.state.attempts.get(attemptId);
    if (!attempt || attempt.unitId !== requestId) {
      if (final) this.abandonRequest(requestId, outcome === 'not-run' ? 'cancelled' : 'failed');
      return;
    }
    this.opts.onReleased(attempt, release);
    if (outcome === 'unconfirmed') {
      this.unconfirmedAtMs.set(attempt.id, performance.now());
      return;
    }
    await this.opts.closer.close([
      { attempt: attempt.id, outcome: outcome satisfies AttemptOutcome, final },
    ]);
  }

  private cancelWaiting(requestId: string): void {
    this.abandoned.add(requestId);
    this.deferred.delete(requestId);
    this.opts.pipeline().cancel(requestId);
    this.rejectWaiters(requestId, 'cancelled', 'the request was abandoned');
  }

  /**
   * Commits that a request was abandoned. A placement that was being committed precedes this entry
   * in the log, so it is visible afterwards and can be closed.
   */
  private async commitAbandoned(requestId: string): Promise<void> {
    await this.opts.commits.commit({
      type: 'abandon-requests',
      requests: [requestId],
      state: 'cancelled',
      wallTime: Date.now(),
    });
  }

  private abandonRequest(requestId: string, state: 'failed' | 'cancelled'): void {
    this.deadlinesAtMs.delete(requestId);
    const record = this.opts.state.requests.get(requestId);
    if (!record || isFinal(record.state)) return;
    this.opts.commits
      .commit({ type: 'abandon-requests', requests: [requestId], state, wallTime: Date.now() })
      .catch(() => {});
  }

  private assertNotAbandoned(requestId: string): void {
    if (!this.abandoned.has(requestId)) return;
    throw new RefusalError({
      type: 'cancelled',
      runState: 'not-run',
      message: 'the request was abandoned',
      requestId,
    });
  }

  private assertNotDuplicate(params: AcquireParams): void {
    const { state } = this.opts;
    const record = state.requests.get(params.requestId);
    if (record && hasCrashedTooOften(record.crashes)) {
      throw new RefusalError({
        type: 'answer-lost',
        runState: 'unknown',
        message: explainLastAttempt(record),
        requestId: params.requestId,
      });
    }
    if (record && isFinal(record.state)) {
      throw this.createDuplicateError(params.requestId);
    }
    if (params.idempotencyKey === undefined) return;
    const team = this.findTeam(params);
    const earlierId = team && state.findByIdempotencyKey(team, params.idempotencyKey);
    if (earlierId && earlierId !== params.requestId) throw this.createDuplicateError(earlierId);
  }

  private findTeam(params: AcquireParams): string | undefined {
    const { config } = this.opts.state;
    const key = params.keyId === undefined ? undefined : config.keys[params.keyId];
    return key?.team ?? config.queues[params.queue]?.chargedTeam;
  }

  private createDuplicateError(id: string): RefusalError {
    const view = this.lookup(id);
    return new RefusalError({
      type: 'duplicate',
      runState: 'not-run',
      message: `the work was submitted before as ${id}; this submission was not run`,
      requestId: id,
      details: { id, state: view?.state },
    });
  }

  private findRequest(attempt: AttemptRecord): { requestId: string; isAbandoned: boolean } {
    const requestId = attempt.unitId;
    return { requestId, isAbandoned: this.abandoned.has(requestId) };
  }

  private createResult(attempt: AttemptRecord): AcquireResult {
    const endpoint = this.opts.state.endpoints.get(attempt.endpointId);
    return {
      attempt: attempt.id,
      token: attempt.token,
      team: attempt.team,
      endpointId: attempt.endpointId,
      url: endpoint?.announcement.url ?? '',
    };
  }

  private rejectWaiters(
    requestId: string,
    type: 'impossible' | 'deadline-exceeded' | 'cancelled' | 'duplicate' | 'answer-lost',
    message: string,
  ): void {
    const runState = type === 'answer-lost' ? 'unknown' : 'not-run';
    const err = new RefusalError({ type, runState, message, requestId });
    this.settleWaiters(requestId, (waiter) => waiter.reject(err));
  }

  private settleWaiters(requestId: string, settle: (waiter: Waiter) => void): void {
    this.enqueued.delete(requestId);
    const waiters = this.waiters.get(requestId) ?? [];
    this.waiters.delete(requestId);
    waiters.forEach(settle);
  }
}
