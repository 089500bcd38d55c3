/**
 * Follower side of the leader lease: no vote is granted for one minimum election timeout after the
 * last message from the leader. A restarted replica does not know when it last received one, so the
 * lease also runs from the start of its process.
 */
export class LeaderLease {
  private contactMs: number;

  constructor(
    startedAtMs: number,
    private readonly durationMs: number,
  ) {
    this.contactMs = startedAtMs;
  }

  /** Time of the last message from the leader, or of the start. */
  get lastContactMs(): number {
    return this.contactMs;
  }

  /** Renews the lease on receipt of a message from the leader. */
  renew(nowMs: number): void {
    this.contactMs = nowMs;
  }

  /** Returns whether votes must be refused. */
  isActive(nowMs: number): boolean {
    return nowMs - this.contactMs < this.durationMs;
  }
}
