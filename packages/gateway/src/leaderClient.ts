import type { Refusal } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';
import type { CallFailureReason } from '@lagoongap/telemetry/callFailure.js';
import type { LeaderAbsence } from '@lagoongap/telemetry/leaderAbsence.js';

import { CallTries, type PendingTry } from './callTries.js';
import { classifyTryFailure } from './classifyTryFailure.js';
import { ReplicaSelector } from './replicaSelector.js';

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
 * Time in which the leader accepts a connection. A call to a leader that is being dialled waits for
 * the connection, since the other replicas would only name the same leader again.
 */
const CONNECT_MS = 300;

/** Time before the deadline at which a call is refused that is not tried again. */
const REFUSAL_MS = 20;

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

function readLeaderHint(refusal: Refusal | undefined): string | undefined {
  return (refusal?.details as { leaderId?: string } | undefined)?.leaderId;
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
  private readonly selector: ReplicaSelector;

  constructor(opts: LeaderClientOptions) {
    this.opts = opts;
    this.selector = new ReplicaSelector(opts);
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
        for (const it of tries.listPending()) this.judgeSilence(it, method, opts);
        throw this.createRefusal(
          method,
          mayHaveRun || hasPending,
          hasPending ? 'timed-out' : reason,
        );
      }
      if (performance.now() >= waitEndMs && !tries.hasOutcome) {
        if (current !== undefined) this.selector.skip(current);
        // A slow leader must not get the same call again.
        current = isTooLate ? undefined : this.selector.pick((id) => tries.isPendingAt(id));
        if (current !== undefined) {
          const connectMs = this.selector.isPresumedLeader(current) ? CONNECT_MS : 0;
          const request = { timeoutMs: remainingMs, connectMs };
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
        this.selector.recordLeader(target);
        this.opts.absence?.recordResponse(target);
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
      if (outcome.err.name === 'PeerTimeoutError') {
        // A deadline that was too short tells nothing about the replica.
        if (!this.hadTime(sentMs, opts)) continue;
        this.selector.skip(target);
      } else if (refusal) {
        this.selector.recordAlive(target);
      }
      const hasHint = this.selector.recordFailure(target, readLeaderHint(refusal));
      if (target !== current) continue;
      current = undefined;
      // Replicas that name each other as the leader must not be called in a tight loop.
      isRedirected = hasHint && !isRedirected;
      // While a try is pending, the others only look for a successor of a leader that may be slow.
      pauseMs = tries.pendingCount > 0 ? Math.min(2 * pauseMs, MAX_RETRY_PAUSE_MS) : RETRY_PAUSE_MS;
      const nowMs = performance.now();
      const pauseEndMs = nowMs + (isRedirected ? 0 : Math.random() * pauseMs);
      // A pause past the last useful try would only delay the refusal.
      const isTooLong = pauseEndMs > endMs - MIN_RETRY_MS;
      waitEndMs = isTooLong ? Math.max(nowMs, endMs - REFUSAL_MS) : pauseEndMs;
    }
  }

  /** Records that a replica has not responded, unless the call had too little time for it. */
  private judgeSilence(
    { target, sentMs }: PendingTry,
    method: string,
    opts: LeaderCallOptions,
  ): void {
    this.opts.absence?.recordFailure('timed-out', { target, method, sentMs });
    if (this.hadTime(sentMs, opts)) this.selector.skip(target);
  }

  private hadTime(sentMs: number, opts: LeaderCallOptions): boolean {
    const conclusiveMs = (opts.heldMs ?? 0) + MIN_RESPONSE_TIME_MS;
    const minMs = Math.min(conclusiveMs, opts.tryTimeoutMs ?? Infinity);
    return performance.now() - sentMs >= minMs;
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
