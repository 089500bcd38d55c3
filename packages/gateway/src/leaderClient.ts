import type { Refusal } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';
import type { CallFailureReason } from '@lagoongap/telemetry/callFailure.js';
import type { LeaderAbsence } from '@lagoongap/telemetry/leaderAbsence.js';

import { classifyTryFailure } from './classifyTryFailure.js';

import { CallTries } from './callTries.js';

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  network: PeerNetwork;
  /** Ids of the instances that can become leader. */
  replicaInstances: string[];
  /** Returns the leader that the local replica follows, if any. */
  readLeaderHint: () => string | undefined;
  /** Records failed tries and responses. */
  absence?: LeaderAbsence;
}

/** Options of {@link LeaderClient.call}. */
export interface LeaderCallOptions {
  /** Total time for all tries. */
  deadlineMs: number;
  /**
   * Time after which an unanswered try is repeated at another replica, for calls that the leader
   * handles without waiting. A late response still counts. Does not apply to a call of the leader
   * to itself.
   */
  tryTimeoutMs?: number;
  /** Longest time for which the leader holds the call before it responds; 0 by default. */
  heldMs?: number;
  signal?: AbortSignal;
}

/** Upper bound of the random pause between two tries. */
const RETRY_PAUSE_MS = 100;

/** Upper bound of the random pause while an earlier try is pending. */
const MAX_RETRY_PAUSE_MS = 400;

/** Minimum time before the deadline at which a call is tried again. */
const MIN_RETRY_MS = 30;

/**
 * Time for which a replica is skipped after a timeout. The other replicas keep naming a frozen
 * leader until they have elected a new one, which takes about this long.
 */
const UNRESPONSIVE_SKIP_MS = 1000;

/**
 * Time to respond, beyond the time for which the leader holds the call, from which a timeout means
 * that a replica is unresponsive. A try with less time left says nothing about the replica.
 */
const MIN_RESPONSE_TIME_MS = 300;

function readRefusal(err: Error): Refusal | undefined {
  if (err instanceof RefusalError) return err.refusal;
  const { data } = err as { data?: { refusal?: Refusal } };
  return data?.refusal;
}

function mayHaveTakenEffect(err: Error, refusal: Refusal | undefined): boolean {
  return refusal ? refusal.runState !== 'not-run' : err.name !== 'PeerUnavailableError';
}

/**
 * Calls RPC methods of the current leader. Each method is idempotent, so a call whose
 * response was lost is retried at the next leader until its deadline.
 */
export class LeaderClient {
  private readonly opts: LeaderClientOptions;
  private leader: string | undefined;
  private nextIndex = 0;
  /** End of the time for which a replica is skipped, by replica. */
  private readonly skippedUntilMs = new Map<string, number>();

  constructor(opts: LeaderClientOptions) {
    this.opts = opts;
  }

  /**
   * Resolves with the leader's response. Rejects with the leader's refusal, or with a
   * `no-leader` refusal after the deadline. The run state covers all tries: it is `not-run` only
   * if each of them was certainly not sent or was refused with that run state.
   */
  async call<Result>(method: string, params: unknown, opts: LeaderCallOptions): Promise<Result> {
    const endMs = performance.now() + opts.deadlineMs;
    const tries = new CallTries();
    let mayHaveRun = false;
    let current: string | undefined;
    let isRedirected = false;
    let pauseMs = RETRY_PAUSE_MS;
    let waitEndMs = performance.now();
    let reason: CallFailureReason = 'no-leader-known';
    for (;;) {
      const remainingMs = endMs - performance.now();
      // The outcome of a try would be unknown if the deadline passed during it.
      const isTooLate = tries.count > 0 && remainingMs < MIN_RETRY_MS;
      const isFinished = isTooLate && tries.pendingCount === 0;
      const isOver = remainingMs <= 0 || isFinished || opts.signal?.aborted;
      if (isOver && !tries.hasOutcome) {
        const hasPending = tries.pendingCount > 0;
        throw this.createRefusal(
          method,
          mayHaveRun || hasPending,
          hasPending ? 'timed-out' : reason,
        );
      }
      if (performance.now() >= waitEndMs && !tries.hasOutcome) {
        if (current !== undefined) this.skip(current);
        current = isTooLate ? undefined : this.pickTarget();
        // A slow leader must not get the same call again.
        if (current !== undefined && tries.isPendingAt(current)) current = this.pickNextReplica();
        if (current !== undefined && tries.isPendingAt(current)) current = undefined;
        if (current !== undefined) {
          const request = { timeoutMs: remainingMs };
          tries.add(current, this.opts.network.call(current, method, params, request));
        }
        const isLocal = current === this.opts.network.selfId;
        const tryTimeoutMs = (isLocal ? undefined : opts.tryTimeoutMs) ?? remainingMs;
        waitEndMs = Math.min(endMs, performance.now() + tryTimeoutMs);
      }
      const outcome = await tries.next(waitEndMs - performance.now());
      if (!outcome) continue;
      const { target, sentMs } = outcome;
      if ('result' in outcome) {
        this.leader = target;
        this.opts.absence?.recordResponse(target);
        this.skippedUntilMs.delete(target);
        return outcome.result as Result;
      }
      const refusal = readRefusal(outcome.err);
      if (mayHaveTakenEffect(outcome.err, refusal)) mayHaveRun = true;
      if (refusal && refusal.type !== 'no-leader') {
        const runState = mayHaveRun || tries.pendingCount > 0 ? 'unknown' : 'not-run';
        throw new RefusalError({ ...refusal, runState }, outcome.err);
      }
      reason = classifyTryFailure(outcome.err, refusal);
      this.opts.absence?.recordFailure(reason, { target, method, sentMs });
      const conclusiveMs = (opts.heldMs ?? 0) + MIN_RESPONSE_TIME_MS;
      const minMs = Math.min(conclusiveMs, opts.tryTimeoutMs ?? Infinity);
      const hadTime = performance.now() - sentMs >= minMs;
      // A deadline that was too short tells nothing about the replica.
      if (outcome.err.name === 'PeerTimeoutError' && !hadTime) continue;
      const hasHint = this.handleFailure(target, outcome.err, refusal);
      if (target !== current) continue;
      current = undefined;
      // Replicas that name each other as the leader must not be called in a tight loop.
      isRedirected = hasHint && !isRedirected;
      // While a try is pending, the others only look for a successor of a leader that may be slow.
      pauseMs = tries.pendingCount > 0 ? Math.min(2 * pauseMs, MAX_RETRY_PAUSE_MS) : RETRY_PAUSE_MS;
      waitEndMs = performance.now() + (isRedirected ? 0 : Math.random() * pauseMs);
    }
  }

  private pickTarget(): string {
    const leaderId = this.leader ?? this.opts.readLeaderHint();
    return leaderId !== undefined && !this.isSkipped(leaderId) ? leaderId : this.pickNextReplica();
  }

  /** Picks replicas in turn; those that are skipped only if there is no other. */
  private pickNextReplica(): string {
    const { replicaInstances } = this.opts;
    for (let i = 0; i < replicaInstances.length; i += 1) {
      const id = this.takeNextReplica();
      if (!this.isSkipped(id)) return id;
    }
    return this.takeNextReplica();
  }

  private takeNextReplica(): string {
    const { replicaInstances } = this.opts;
    this.nextIndex += 1;
    return replicaInstances[this.nextIndex % replicaInstances.length]!;
  }

  private skip(id: string): void {
    this.skippedUntilMs.set(id, performance.now() + UNRESPONSIVE_SKIP_MS);
  }

  private isSkipped(id: string): boolean {
    return performance.now() < (this.skippedUntilMs.get(id) ?? -Infinity);
  }

  /** Returns whether a failed try has named another replica that can be called. */
  private handleFailure(target: string, err: Error, refusal: Refusal | undefined): boolean {
    if (err.name === 'PeerTimeoutError') this.skip(target);
    else if (refusal) this.skippedUntilMs.delete(target);
    const hint = (refusal?.details as { leaderId?: string } | undefined)?.leaderId;
    // A replica that follows the leader hears from it, so the leader is slow rather than gone.
    if (hint !== undefined && hint !== target) this.skippedUntilMs.delete(hint);
    const isUsable = hint !== target && hint !== undefined;
    if (isUsable) this.leader = hint;
    // Another call may have found the next leader meanwhile.
    else if (this.leader === target) this.leader = undefined;
    // The local replica may not have detected yet that its leader has failed.
    if (!isUsable && this.leader === undefined && this.opts.readLeaderHint() === target) {
      this.leader = this.pickNextReplica();
    }
    return isUsable;
  }

  private createRefusal(
    method: string,
    mayHaveRun: boolean,
    reason: CallFailureReason,
  ): RefusalError {
    return new RefusalError({
      type: 'no-leader',
      runState: mayHaveRun ? 'unknown' : 'not-run',
      message: `no valid leader responded to ${method} before the deadline`,
      details: { reason },
    });
  }
}
