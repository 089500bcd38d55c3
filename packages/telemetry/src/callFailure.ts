/** Why a call got no result from the leader, or was refused. */
export type CallFailureReason =
  /** No instance was known to lead. */
  | 'no-leader-known'
  /** The instance that was asked does not lead, and named the leader. */
  | 'not-leader'
  /** The leadership of the instance that was asked is not valid at present. */
  | 'leader-not-valid'
  /** The instance that was asked could not be reached; nothing was sent. */
  | 'unreachable'
  /** The connection was lost after the call had been sent. */
  | 'connection-lost'
  /** No response arrived in time. */
  | 'timed-out'
  /** The leader failed to handle the call. */
  | 'failed'
  /** A limit was reached. */
  | 'limit'
  /** The cell has no configuration yet. */
  | 'not-configured';

/** What is known about the execution of a failed call. */
export type FailedCallState = 'not-run' | 'unknown';

/** Phase of a change of leader; each is measured from the election. */
export type TakeoverPhase =
  /** All entries of earlier terms are applied. */
  | 'applied'
  /** The runs of the previous leader are adopted. */
  | 'adopted'
  /** The first scheduling cycle has begun. */
  | 'first-cycle'
  /** The first call of a caller has been answered. */
  | 'first-response';
