/** Whether refused work may have run. */
export type RunState = 'not-run' | 'unknown';

/** Why work was refused. */
export type RefusalType =
  | 'invalid-input'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'duplicate'
  | 'conflict'
  | 'body-too-large'
  | 'queue-full'
  | 'over-limit'
  | 'impossible'
  | 'deadline-exceeded'
  | 'cancelled'
  | 'gateway-not-valid'
  | 'no-leader'
  | 'shutting-down'
  | 'endpoint-failed'
  | 'answer-lost'
  | 'internal';

/** Refusal as sent to callers, endpoints and operators. */
export interface Refusal {
  type: RefusalType;
  runState: RunState;
  message: string;
  requestId?: string;
  retryAfterMs?: number;
  /** Details such as faults of a release note. */
  details?: unknown;
}
