/** Clocks of two instances differ by at most 1 %; the margin covers that and rounding. */
export const EXPIRY_MARGIN_FACTOR = 1.1;

/** Deadline of a start order or an action sent to an endpoint. */
export const ORDER_TIMEOUT_MS = 2000;

/**
 * Time after which a heartbeat that does not list an attempt proves that it does not
 * run. Longer than an order or a heartbeat can be on its way.
 */
export const MISSING_ATTEMPT_GRACE_MS = 5000;

/** Interval in which leases, validities and deadlines are looked through. */
export const SWEEP_INTERVAL_MS = 250;

/** Longest time that a look-up waits for the end of a job. */
export const MAX_LOOKUP_WAIT_MS = 60_000;

/** Durations that come from the settings, in milliseconds. */
export interface CoordinatorTiming {
  gatewayValidityMs: number;
  endpointHeartbeatMs: number;
  endpointLeaseMs: number;
}
