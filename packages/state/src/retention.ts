/** Time for which finished work and its idempotency key are retained. */
export const FINISHED_RETENTION_MS = 24 * 60 * 60 * 1000;

/**
 * Time for which the cancellation of an unknown job is kept for its submission; several times what a
 * process may be suspended and a call may be repeated.
 */
export const EARLY_CANCELLATION_RETENTION_MS = 10 * 60 * 1000;

/** Maximum number of finished jobs that are retained. */
export const MAX_FINISHED_JOBS = 100_000;

/** Maximum number of finished requests with an idempotency key that are retained. */
export const MAX_FINISHED_KEYED_REQUESTS = 200_000;

/** Maximum number of finished requests without an idempotency key retained for look-ups. */
export const MAX_FINISHED_REQUESTS = 20_000;

/** Number of failed attempts after which a task fails. */
export const MAX_TASK_FAILURES = 3;

/** Maximum number of audit entries that are retained. */
export const MAX_AUDIT_ENTRIES = 10_000;

/** Maximum number of release notes retained in full, for incremental updates of gateways. */
export const MAX_RECENT_NOTES = 200;
