import type { Quarantine } from './quarantine.js';
import type { ReadyStep } from './readySteps.js';
import type { RejectionBackoff } from './rejectionBackoff.js';
import type { RunLedger } from './runLedger.js';
import type { PlacementCandidate } from './stepPlacer.js';
import type { TicketCache } from './ticketCache.js';

/** An endpoint that may start tasks of a step as soon as it has room. */
export interface UsableEndpoint {
  id: string;
  /** Largest number of further tasks, whatever the capacity. */
  maxTasks: number;
}

/** Conditions other than capacity under which an endpoint may start tasks of a step. */
export interface UsabilityConditions {
  /** Absent if the step needs no tickets. */
  tickets: TicketCache | undefined;
  /** Time for which tickets have to remain valid. */
  leadMs: number;
  rejections: RejectionBackoff;
  quarantine: Quarantine;
  ledger: RunLedger;
}

/** Returns the endpoints that could start tasks of a step now if they had room for them. */
export function listUsableEndpoints(
  { name, spec: { requiredLabel, maxPerEndpoint } }: ReadyStep,
  candidates: Iterable<PlacementCandidate>,
  { tickets, leadMs, rejections, quarantine, ledger }: UsabilityConditions,
): UsableEndpoint[] {
  const nowMs = performance.now();
  const usable: UsableEndpoint[] = [];
  for (const { id, labels } of candidates) {
    if (tickets && tickets.find(id, nowMs + leadMs) === undefined) continue;
    if (rejections.isDelayed(name, id, nowMs) || !quarantine.isOpen(id)) continue;
    if (requiredLabel !== '' && !labels.includes(requiredLabel)) continue;
    const maxTasks = maxPerEndpoint > 0 ? maxPerEndpoint - ledger.countRuns(name, id) : Infinity;
    if (maxTasks > 0) usable.push({ id, maxTasks });
  }
  return usable;
}
