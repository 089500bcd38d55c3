/** Whether refused work may have been executed. */
export type RunState = 'not-run' | 'unknown';

/** Machine-readable reason of a refusal. */
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
  | 'overloaded'
  | 'impossible'
  | 'deadline-exceeded'
  | 'cancelled'
  | 'gateway-not-valid'
  | 'no-leader'
  | 'shutting-down'
  | 'endpoint-failed'
  | 'answer-lost'
  | 'internal';

/** Refusal returned to callers, endpoints and operators. */
export interface Refusal {
  type: RefusalType;
  runState: RunState;
  message: string;
  requestId?: string;
  retryAfterMs?: number;
  /** Additional data, such as the faults of a release note. */
  details?: unknown;
}
