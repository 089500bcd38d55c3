/**
 * Follower side of the leader lease: no vote is granted for one minimum election timeout after the
 * last message from the leader. A restarted replica does not know when it last received one, so the
 * lease also runs from its start.
 */
export class LeaderLease {
  private lastContactMs: number;

  constructor(
    startedAtMs: number,
    private readonly durationMs: number,
  ) {
    this.lastContactMs = startedAtMs;
  }

  /** Renews the lease on receipt of a message from the leader. */
  renew(nowMs: number): void {
    this.lastContactMs = nowMs;
  }

  /** Returns whether votes must be refused. */
  isActive(nowMs: number): boolean {
    return nowMs - this.lastContactMs < this.durationMs;
  }
}
