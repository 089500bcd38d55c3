/**
 * Promise of a follower to its leader: no vote is granted for one minimum election timeout
 * after the last message of the leader. A restarted replica does not know when it heard from
 * a leader, so the promise also runs from its start.
 */
export class VoterLease {
  private lastContactMs: number;

  constructor(
    startedAtMs: number,
    private readonly lengthMs: number,
  ) {
    this.lastContactMs = startedAtMs;
  }

  /** Starts the promise again, at the receipt of a message of the leader. */
  renew(nowMs: number): void {
    this.lastContactMs = nowMs;
  }

  /** Tells whether votes must be refused. */
  isHeld(nowMs: number): boolean {
    return nowMs - this.lastContactMs < this.lengthMs;
  }
}
