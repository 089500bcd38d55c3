/** Why a run ended without a report of its endpoint. */
export type RunLossReason =
  /** The leadership was not valid when the run was to be ordered. */
  | 'leader-not-valid'
  /** The job ended or the endpoint was removed before the run was ordered. */
  | 'not-needed'
  /** The endpoint stopped responding before the run was ordered. */
  | 'not-responding'
  /** The ticket expired before the run was ordered. */
  | 'ticket-expired'
  /** The data centre was evacuated before the run was ordered. */
  | 'evacuated'
  /** The queue was bound to other regions before the run was ordered. */
  | 'other-region'
  /** The start order got no response and had no effect. */
  | 'order-lost'
  /** The endpoint no longer lists a run that it had confirmed. */
  | 'not-reported'
  /** The endpoint was unresponsive until its lease had expired. */
  | 'lease-expired'
  /** The endpoint has left, was replaced, or was removed. */
  | 'endpoint-gone'
  | 'no-room'
  | 'no-ticket'
  | 'late'
  | 'superseded'
  | 'wrong-instance'
  | 'unhealthy'
  | 'invalid'
  /** The endpoint could not be connected to; the order was not sent. */
  | 'not-sent'
  | 'other';
