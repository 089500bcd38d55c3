/** Protocol timing in milliseconds. */
export interface RaftTiming {
  /** Heartbeat interval of the leader. */
  heartbeatMs: number;
  /**
   * Minimum election timeout; a voter also refuses votes for this long after contact with a leader.
   */
  electionMinMs: number;
  /** Maximum election timeout. */
  electionMaxMs: number;
  /**
   * Duration of leader validity, counted from the send time of an acknowledged message. Must be
   * shorter than `electionMinMs` by more than the permitted clock drift.
   */
  leaderValidityMs: number;
}

/** Default timing. */
export const DEFAULT_TIMING: RaftTiming = {
  heartbeatMs: 100,
  electionMinMs: 600,
  electionMaxMs: 1200,
  leaderValidityMs: 500,
};
