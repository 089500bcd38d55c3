/**
 * Factor by which the leader extends validities and leases before it treats them as expired. The
 * clock rates of two instances differ by at most 1 %; the margin covers that and rounding.
 */
export const EXPIRY_MARGIN_FACTOR = 1.1;

/** Timeout of a start order or action that is sent to an endpoint. */
export const ORDER_TIMEOUT_MS = 2000;

/**
 * Time after which an attempt that is missing from a heartbeat can be declared lost. Longer than
 * the transit time of an order or a heartbeat.
 */
export const MISSING_ATTEMPT_GRACE_MS = 5000;

/**
 * Time after which a running attempt is no longer taken as the cause of a crash of its endpoint.
 * Longer than several heartbeats and than the start of ordinary work.
 */
export const CRASH_SUSPICION_MS = 30_000;

/** Longest time for which a suspect of a crash, or another task of its job, is held back. */
export const MAX_SUSPECT_HOLD_MS = 60_000;

/** Interval at which leases, validities and deadlines are checked. */
export const SWEEP_INTERVAL_MS = 250;

/** Longest time for which a lookup waits for a job to end. */
export const MAX_LOOKUP_WAIT_MS = 60_000;

/** Durations from the settings, in milliseconds. */
export interface CoordinatorTiming {
  gatewayValidityMs: number;
  endpointHeartbeatMs: number;
  endpointLeaseMs: number;
}
