/** Options of a {@link ReplicaSelector}. */
export interface ReplicaSelectorOptions {
  /** Ids of the instances that can become leader; read on every call. */
  replicaInstances: string[];
  /** Returns the leader that the local replica follows, if any. */
  readLeaderHint: () => string | undefined;
}

/**
 * Time for which a replica is skipped after a timeout. The other replicas keep naming a frozen
 * leader until they have elected a new one, which takes about this long.
 */
const UNRESPONSIVE_SKIP_MS = 1000;

/** Chooses the replica for the next try of a call, from what earlier tries have shown. */
export class ReplicaSelector {
  private readonly opts: ReplicaSelectorOptions;
  private leader: string | undefined;
  private nextIndex = 0;
  /** End of the time for which a replica is skipped, by replica. */
  private readonly skippedUntilMs = new Map<string, number>();

  constructor(opts: ReplicaSelectorOptions) {
    this.opts = opts;
  }

  /** Returns the presumed leader or the next replica; undefined if all replicas are excluded. */
  pick(isExcluded: (id: string) => boolean): string | undefined {
    const leaderId = this.leader ?? this.opts.readLeaderHint();
    const isUsable = leaderId !== undefined && !this.isSkipped(leaderId) && !isExcluded(leaderId);
    return isUsable ? leaderId : this.pickNext(isExcluded);
  }

  /** Returns whether a replica is the leader as far as is known. */
  isPresumedLeader(id: string): boolean {
    return id === (this.leader ?? this.opts.readLeaderHint());
  }

  /** Records that a replica has not responded in time. */
  skip(id: string): void {
    this.skippedUntilMs.set(id, performance.now() + UNRESPONSIVE_SKIP_MS);
  }

  /** Records a response of the leader. */
  recordLeader(id: string): void {
    this.leader = id;
    this.skippedUntilMs.delete(id);
  }

  /**
   * Records that a replica has refused a call, or failed it.
   *
   * @param hint - Leader that the replica has named.
   * @returns Whether another replica was named.
   */
  recordFailure(id: string, hint: string | undefined): boolean {
    const namesOther = hint !== undefined && hint !== id;
    if (namesOther) {
      this.leader = hint;
      // A replica that follows the leader hears from it, so the leader is slow rather than gone.
      this.skippedUntilMs.delete(hint);
    } else if (this.leader === id) {
      this.leader = undefined;
    }
    // The local replica may not have detected yet that its leader has failed.
    if (this.leader === undefined && this.opts.readLeaderHint() === id) {
      this.leader = this.pickNext((other) => other === id);
    }
    return namesOther;
  }

  /** Records that a replica responds, although it does not lead. */
  recordAlive(id: string): void {
    this.skippedUntilMs.delete(id);
  }

  /** Picks replicas in turn; those that are skipped only if there is no other. */
  private pickNext(isExcluded: (id: string) => boolean): string | undefined {
    const { replicaInstances } = this.opts;
    let fallback: string | undefined;
    for (let i = 0; i < replicaInstances.length; i += 1) {
      this.nextIndex += 1;
      const id = replicaInstances[this.nextIndex % replicaInstances.length]!;
      if (isExcluded(id)) continue;
      if (!this.isSkipped(id)) return id;
      fallback ??= id;
    }
    return fallback;
  }

  private isSkipped(id: string): boolean {
    return performance.now() < (this.skippedUntilMs.get(id) ?? -Infinity);
  }
}
