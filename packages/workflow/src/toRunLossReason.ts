import type { RunLossReason } from '@lagoongap/telemetry/runLossReason.js';

/** Reason of a committed run that is not ordered, as the leadership is not valid. */
export const NOT_VALID_AT_DISPATCH = 'leadership was not valid when the run was to be ordered';

/** Reason of a committed run that is no longer needed or has no endpoint. */
export const NOT_NEEDED_AT_DISPATCH = 'the job has ended or the endpoint was removed';

/** Reason of a committed run that no longer fits on its endpoint. */
export const SHRUNK_AT_DISPATCH = 'the capacity of the endpoint has shrunk';

/** Reason of a committed run whose endpoint has stopped responding before it was ordered. */
export const UNRESPONSIVE_AT_DISPATCH = 'the endpoint stopped responding before the order';

/** Reason of a committed run whose ticket has expired before it was ordered. */
export const NO_TICKET_AT_DISPATCH = 'the ticket expired before the order';

/** Reason of a committed run whose endpoint has begun to drain before it was ordered. */
export const DRAINING_AT_DISPATCH = 'the endpoint began to drain before the order';

/** Reason of a committed run whose data centre has been evacuated before it was ordered. */
export const EVACUATED_AT_DISPATCH = 'the data centre was evacuated before the order';

/** Reason of a committed run whose queue may no longer use the region of its endpoint. */
export const REGION_AT_DISPATCH = 'the queue was bound to other regions before the order';

/** Reasons by the text that is logged. */
const REASONS = new Map<string, RunLossReason>([
  [NOT_VALID_AT_DISPATCH, 'leader-not-valid'],
  [SHRUNK_AT_DISPATCH, 'no-room'],
  [NOT_NEEDED_AT_DISPATCH, 'not-needed'],
  [NO_TICKET_AT_DISPATCH, 'ticket-expired'],
  [UNRESPONSIVE_AT_DISPATCH, 'not-responding'],
  [DRAINING_AT_DISPATCH, 'endpoint-gone'],
  [EVACUATED_AT_DISPATCH, 'evacuated'],
  [REGION_AT_DISPATCH, 'other-region'],
  ['the order never arrived', 'order-lost'],
  ['not reported by the endpoint', 'not-reported'],
  ['the lease expired', 'lease-expired'],
  ['the endpoint has left', 'endpoint-gone'],
  ['the endpoint is unresponsive', 'endpoint-gone'],
  ['replaced by a newer incarnation', 'endpoint-gone'],
]);

/** Outcomes of rejected orders, which are logged as they are. */
const REJECTIONS: ReadonlySet<string> = new Set<RunLossReason>([
  'no-room',
  'no-ticket',
  'late',
  'superseded',
  'wrong-instance',
  'unhealthy',
  'invalid',
  'not-sent',
]);

/** Returns whether a run was lost because its endpoint rejected the start order. */
export function isRejection(text: string): boolean {
  return REJECTIONS.has(text);
}

/** Returns the reason under which a loss is counted. */
export function toRunLossReason(text: string): RunLossReason {
  return isRejection(text) ? (text as RunLossReason) : (REASONS.get(text) ?? 'other');
}
