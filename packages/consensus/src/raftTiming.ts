/** Durations of the protocol in milliseconds. */
export interface RaftTiming {
  /** Time between two heartbeats of a leader. */
  heartbeatMs: number;
  /** Shortest election timeout; a voter refuses votes this long after it heard from a leader. */
  electionMinMs: number;
  /** Longest election timeout. */
  electionMaxMs: number;
  /**
   * Length of leader validity from the send time of an acknowledged message. Must be less than
   * `electionMinMs` by more than the permitted difference of clock rates.
   */
  leaderValidityMs: number;
}

/** Durations of the design page. */
export const DEFAULT_TIMING: RaftTiming = {
  heartbeatMs: 100,
  electionMinMs: 600,
  electionMaxMs: 1200,
  leaderValidityMs: 500,
};
