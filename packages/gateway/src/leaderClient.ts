import { delay } from '@lagoongap/model/delay.js';

import type { Refusal } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { toError } from '@lagoongap/model/toError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  network: PeerNetwork;
  /** Ids of the instances that may become leader. */
  replicaInstances: string[];
  /** Returns the leader as the local replica knows it, if there is one. */
  readLeaderHint: () => string | undefined;
}

/** Options of {@link LeaderClient.call}. */
export interface LeaderCallOptions {
  /** Time for all tries together. */
  deadlineMs: number;
  /** Time for one try, for calls that are always answered at once. */
  tryTimeoutMs?: number;
  signal?: AbortSignal;
}

/** Pause between two tries while no leader is known; random up to this bound. */
const RETRY_PAUSE_MS = 100;

/**
 * Time for which a replica that has not answered in time is passed over. Other replicas go on
 * to name a frozen leader until they have elected another one, which takes about this long.
 */
const PASS_OVER_MS = 1000;

function readRefusal(err: Error): Refusal | undefined {
  if (err instanceof RefusalError) return err.refusal;
  const { data } = err as { data?: { refusal?: Refusal } };
  return data?.refusal;
}

/**
 * Calls methods of the leader, wherever it is. Each method is idempotent, so a
 * call whose answer was lost is repeated at the next leader until its deadline.
 */
export class LeaderClient {
  private readonly opts: LeaderClientOptions;
  private leader: string | undefined;
  private next = 0;
  private passedOver: { id: string; untilMs: number } | undefined;

  constructor(opts: LeaderClientOptions) {
    this.opts = opts;
  }

  /**
   * Resolves with the answer of the leader. Rejects with the leader's refusal, or
   * with `no-leader` when the deadline has passed: run state `not-run` if
   * no call can have arrived, `unknown` otherwise.
   */
  async call<Result>(method: string, params: unknown, opts: LeaderCallOptions): Promise<Result> {
    const endMs = performance.now() + opts.deadlineMs;
    let mayHaveRun = false;
    for (;;) {
      const target = this.pickTarget();
      const leftMs = endMs - performance.now();
      const timeoutMs = Math.min(leftMs, opts.tryTimeoutMs ?? leftMs);
      if (leftMs <= 0 || opts.signal?.aborted) throw this.createTimeout(method, mayHaveRun);
      try {
        const result = await this.opts.network.call(target, method, params, { timeoutMs });
        this.leader = target;
        return result as Result;
      } catch (reason) {
        const err = toError(reason);
        const refusal = readRefusal(err);
        if (refusal && refusal.type !== 'no-leader') throw new RefusalError(refusal);
        if (!refusal && err.name !== 'PeerUnavailableError') mayHaveRun = true;
        if (err.name === 'PeerTimeoutError') {
          this.passedOver = { id: target, untilMs: performance.now() + PASS_OVER_MS };
        }
        this.followHint(target, refusal);
      }
      await delay(Math.random() * RETRY_PAUSE_MS);
    }
  }

  private pickTarget(): string {
    const known = this.leader ?? this.opts.readLeaderHint();
    return known !== undefined && !this.isPassedOver(known) ? known : this.pickNext();
  }

  private pickNext(): string {
    const { replicaInstances } = this.opts;
    this.next += 1;
    const id = replicaInstances[this.next % replicaInstances.length]!;
    if (!this.isPassedOver(id)) return id;
    this.next += 1;
    return replicaInstances[this.next % replicaInstances.length]!;
  }

  private isPassedOver(id: string): boolean {
    const { passedOver } = this;
    return passedOver?.id === id && performance.now() < passedOver.untilMs;
  }

  private followHint(failed: string, refusal: Refusal | undefined): void {
    const hint = (refusal?.details as { leaderId?: string } | undefined)?.leaderId;
    const isUsable = hint !== failed && hint !== undefined && !this.isPassedOver(hint);
    this.leader = isUsable ? hint : undefined;
    // The local replica may not have noticed yet that its leader is gone.
    if (!isUsable && this.opts.readLeaderHint() === failed) this.leader = this.pickNext();
  }

  private createTimeout(method: string, mayHaveRun: boolean): RefusalError {
    return new RefusalError({
      type: 'no-leader',
      runState: mayHaveRun ? 'unknown' : 'not-run',
      message: `no valid leader answered ${method} in time`,
    });
  }
}
