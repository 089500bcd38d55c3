import type { QueuePolicy } from './cellConfig.js';
import type { FleetCandidate } from './endpointSlots.js';
import type { ReadyStep } from './readySteps.js';
import type { AdviceResponse, TicketCache } from './ticketCache.js';

/** Reason why no query is sent for a step. */
export type OmissionReason =
  'not-waiting' | 'at-limit' | 'covered' | 'no-room' | 'failed' | 'too-many';

/** What a query about a step is chosen from. */
export interface PlanInput {
  step: ReadyStep;
  queue: QueuePolicy;
  candidates: ReadonlyMap<string, FleetCandidate>;
  cache: TicketCache;
  /** Priority of the query. */
  priority: number;
}

/** Decides which endpoints a query names. */
export interface QueryPlanner {
  /** Whether the endpoints are chosen when an instance can send the query, or when it is queued. */
  readonly isLate: boolean;

  /** Returns whether the organisation of a step is at its limit, so that no query is queued. */
  isAtLimit(step: ReadyStep, queue: QueuePolicy): boolean;

  /** Returns the expected duration of a call that is not planned yet, in milliseconds. */
  expectedCallMs(queue: QueuePolicy): number;

  /** Chooses the endpoints; a query that is returned counts as in flight until `settle`. */
  plan(input: PlanInput): string[] | OmissionReason;

  /** Records that the query for a step has ended; absent response: it failed or was dropped. */
  settle(input: Omit<PlanInput, 'priority'>, response?: AdviceResponse): void;

  /** Deletes what is known about a step that has ended. */
  forgetStep(step: string): void;
}
