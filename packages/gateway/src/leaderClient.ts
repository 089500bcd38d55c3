import { delay } from '@lagoongap/model/delay.js';
import type { Refusal } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { toError } from '@lagoongap/model/toError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';
import type { CallFailureReason } from '@lagoongap/telemetry/callFailure.js';
import type { LeaderAbsence } from '@lagoongap/telemetry/leaderAbsence.js';

import { classifyTryFailure } from './classifyTryFailure.js';

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
  /** Timeout of one try, for calls that the leader handles without waiting. */
  tryTimeoutMs?: number;
  /** Longest time for which the leader holds the call before it responds; 0 by default. */
  heldMs?: number;
  signal?: AbortSignal;
}

/** Upper bound of the random pause between two tries. */
const RETRY_PAUSE_MS = 100;

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

/**
 * Calls RPC methods of the current leader. Each method is idempotent, so a call whose
 * response was lost is retried at the next leader until its deadline.
 */
export class LeaderClient {
  private readonly opts: LeaderClientOptions;
  private leader: string | undefined;
  private nextIndex = 0;
  private unresponsiveReplica: { id: string; untilMs: number } | undefined;

  constructor(opts: LeaderClientOptions) {
    this.opts = opts;
  }

  /**
   * Resolves with the leader's response. Rejects with the leader's refusal, or with a
   * `no-leader` refusal after the deadline: its run state is `not-run` if no try can have
   * arrived, `unknown` otherwise.
   */
  async call<Result>(method: string, params: unknown, opts: LeaderCallOptions): Promise<Result> {
    const endMs = performance.now() + opts.deadlineMs;
    let mayHaveRun = false;
    let reason: CallFailureReason = 'no-leader-known';
    for (;;) {
      const target = this.pickTarget();
      const remainingMs = endMs - performance.now();
      const timeoutMs = Math.min(remainingMs, opts.tryTimeoutMs ?? remainingMs);
      if (remainingMs <= 0 || opts.signal?.aborted) {
        throw this.createRefusal(method, mayHaveRun, reason);
      }
      const sentMs = performance.now();
      try {
        const result = await this.opts.network.call(target, method, params, { timeoutMs });
        this.leader = target;
        this.opts.absence?.recordResponse(target);
        return result as Result;
      } catch (thrown) {
        const err = toError(thrown);
        const refusal = readRefusal(err);
        if (refusal && refusal.type !== 'no-leader') throw new RefusalError(refusal);
        reason = classifyTryFailure(err, refusal);
        this.opts.absence?.recordFailure(reason, { target, method, sentMs });
        if (!refusal && err.name !== 'PeerUnavailableError') mayHaveRun = true;
        const conclusiveMs = (opts.heldMs ?? 0) + MIN_RESPONSE_TIME_MS;
        const hadTime = timeoutMs >= Math.min(conclusiveMs, opts.tryTimeoutMs ?? Infinity);
        if (err.name === 'PeerTimeoutError' && !hadTime) continue;
        if (err.name === 'PeerTimeoutError') {
          this.unresponsiveReplica = {
            id: target,
            untilMs: performance.now() + UNRESPONSIVE_SKIP_MS,
          };
        }
        this.followHint(target, refusal);
      }
      await delay(Math.random() * RETRY_PAUSE_MS);
    }
  }

  private pickTarget(): string {
    const leaderId = this.leader ?? this.opts.readLeaderHint();
    return leaderId !== undefined && !this.isUnresponsive(leaderId)
      ? leaderId
      : this.pickNextReplica();
  }

  private pickNextReplica(): string {
    const { replicaInstances } = this.opts;
    this.nextIndex += 1;
    const id = replicaInstances[this.nextIndex % replicaInstances.length]!;
    if (!this.isUnresponsive(id)) return id;
    this.nextIndex += 1;
    return replicaInstances[this.nextIndex % replicaInstances.length]!;
  }

  private isUnresponsive(id: string): boolean {
    const { unresponsiveReplica } = this;
    return unresponsiveReplica?.id === id && performance.now() < unresponsiveReplica.untilMs;
  }

  private followHint(failed: string, refusal: Refusal | undefined): void {
    const hint = (refusal?.details as { leaderId?: string } | undefined)?.leaderId;
    const isUsable = hint !== failed && hint !== undefined && !this.isUnresponsive(hint);
    this.leader = isUsable ? hint : undefined;
    // The local replica may not have detected yet that its leader has failed.
    if (!isUsable && this.opts.readLeaderHint() === failed) this.leader = this.pickNextReplica();
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
