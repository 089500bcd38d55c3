import type { JobState } from '@lagoongap/model/workload.js';

import type { StartedAttempt } from './commands.js';
import { hasCrashedTooOften, recordCrash, withdrawCrash } from './crashHistory.js';
import type { IdempotencyIndex } from './idempotencyIndex.js';
import type { AttemptRecord, FinishedAttempt, RequestRecord } from './records.js';
import {
  FINISHED_RETENTION_MS,
  MAX_FINISHED_KEYED_REQUESTS,
  MAX_FINISHED_REQUESTS,
} from './retention.js';
import { RetentionQueue } from './retentionQueue.js';
import { isFinal } from './taskTransitions.js';

interface RequestTableSnapshot {
  requests: RequestRecord[];
  finishedKeyed: string[];
  finishedPlain: string[];
}

function resolveRequestState(request: RequestRecord, finished: FinishedAttempt): JobState {
  if (finished.outcome === 'succeeded') return 'succeeded';
  if (finished.outcome === 'lost') {
    const isLast = finished.final || request.noRepeat || hasCrashedTooOften(request.crashes);
    return isLast ? 'unknown' : 'waiting';
  }
  if (finished.outcome === 'not-run') return finished.final ? 'cancelled' : 'waiting';
  return finished.final || request.noRepeat ? 'failed' : 'waiting';
}

/** Requests with at least one committed attempt. */
export class RequestTable {
  private readonly requests = new Map<string, RequestRecord>();
  private readonly finishedKeyed = new RetentionQueue();
  private readonly finishedPlain = new RetentionQueue();
  private readonly idempotency: IdempotencyIndex;

  constructor(idempotency: IdempotencyIndex) {
    this.idempotency = idempotency;
  }

  get(id: string): RequestRecord | undefined {
    return this.requests.get(id);
  }

  values(): IterableIterator<RequestRecord> {
    return this.requests.values();
  }

  /** Returns the first unit that used the idempotency key of an attempt, unless it is its own. */
  findDuplicate(attempt: StartedAttempt): string | undefined {
    if (attempt.idempotencyKey === undefined) return undefined;
    const existingId = this.idempotency.find(attempt.team, attempt.idempotencyKey);
    return existingId === attempt.unitId ? undefined : existingId;
  }

  /** Returns whether another attempt may be started. */
  canStart(id: string): boolean {
    const request = this.requests.get(id);
    return request === undefined || (request.state === 'waiting' && request.attempt === undefined);
  }

  start(attempt: AttemptRecord, idempotencyKey: string | undefined): void {
    const existing = this.requests.get(attempt.unitId);
    if (existing) {
      existing.state = 'running';
      existing.attempts += 1;
      existing.attempt = attempt.id;
      return;
    }
    const { unitId: id, team, queue, work, noRepeat } = attempt;
    if (idempotencyKey !== undefined) this.idempotency.add(team, idempotencyKey, id);
    this.requests.set(id, {
      id,
      team,
      queue,
      work,
      noRepeat,
      state: 'running',
      attempts: 1,
      attempt: attempt.id,
      idempotencyKey,
    });
  }

  finish(attempt: AttemptRecord, finished: FinishedAttempt, wallTime: number): void {
    const request = this.requests.get(attempt.unitId);
    if (!request || request.attempt !== attempt.id) return;
    request.attempt = undefined;
    const crashes = recordCrash(request.crashes, finished);
    if (crashes !== request.crashes) request.crashes = crashes;
    request.state = resolveRequestState(request, finished);
    if (isFinal(request.state)) this.markFinished(request, wallTime);
  }

  /** Withdraws the crash of an attempt whose endpoint turned out to have kept running. */
  withdrawCrash(id: string, attempt: string): void {
    const request = this.requests.get(id);
    if (!request?.crashes || isFinal(request.state)) return;
    request.crashes = withdrawCrash(request.crashes, attempt);
  }

  /** Ends a waiting request that will not be attempted again. */
  abandon(id: string, state: JobState, wallTime: number): void {
    const request = this.requests.get(id);
    if (!request || isFinal(request.state) || request.attempt !== undefined) return;
    request.state = state;
    this.markFinished(request, wallTime);
  }

  snapshot(): RequestTableSnapshot {
    return {
      requests: [...this.requests.values()].map((request) => ({ ...request })),
      finishedKeyed: this.finishedKeyed.snapshot(),
      finishedPlain: this.finishedPlain.snapshot(),
    };
  }

  restore(snapshot: RequestTableSnapshot): void {
    this.requests.clear();
    for (const request of snapshot.requests) {
      this.requests.set(request.id, { ...request });
      if (request.idempotencyKey !== undefined) {
        this.idempotency.add(request.team, request.idempotencyKey, request.id);
      }
    }
    this.finishedKeyed.restore(snapshot.finishedKeyed);
    this.finishedPlain.restore(snapshot.finishedPlain);
  }

  private markFinished(request: RequestRecord, wallTime: number): void {
    request.finishedAt = wallTime;
    const isKeyed = request.idempotencyKey !== undefined;
    const queue = isKeyed ? this.finishedKeyed : this.finishedPlain;
    queue.push(request.id);
    const expiryTime = wallTime - FINISHED_RETENTION_MS;
    queue.prune({
      max: isKeyed ? MAX_FINISHED_KEYED_REQUESTS : MAX_FINISHED_REQUESTS,
      isExpired: (id) => (this.requests.get(id)?.finishedAt ?? 0) < expiryTime,
      drop: (id) => this.drop(id),
    });
  }

  private drop(id: string): void {
    const request = this.requests.get(id);
    this.requests.delete(id);
    if (request?.idempotencyKey === undefined) return;
    this.idempotency.remove(request.team, request.idempotencyKey);
  }
}
