/** Time for which finished work and its idempotency key are kept. */
export const FINISHED_RETENTION_MS = 24 * 60 * 60 * 1000;

/** Most finished jobs that are kept. */
export const MAX_FINISHED_JOBS = 100_000;

/** Most finished requests with an idempotency key that are kept. */
export const MAX_FINISHED_KEYED_REQUESTS = 200_000;

/** Most finished requests without an idempotency key that are kept for look-ups. */
export const MAX_FINISHED_REQUESTS = 20_000;

/** Attempts after which a task that keeps failing is given up. */
export const MAX_TASK_FAILURES = 3;

/** Most entries of the audit trail that are kept. */
export const MAX_AUDIT_ENTRIES = 10_000;

/** Most release notes that are kept whole, so that gateways can catch up by difference. */
export const MAX_RECENT_NOTES = 200;
