import type { QueuePolicy } from './cellConfig.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { PlacementRoom } from './placementRoom.js';
import { allowsDataCentre } from './queueRegions.js';
import type { ReadyStep } from './readySteps.js';
import type { PlacementUsage } from './stepPlacer.js';
import type { TicketCache } from './ticketCache.js';
import type { FleetCandidate } from './endpointSlots.js';

/** What the scheduler knows about a step that waits. */
export interface WaitFacts {
  ready: ReadyStep;
  queue: QueuePolicy;
  candidates: FleetCandidate[];
  usage: PlacementUsage;
  tickets: TicketCache;
  directory: EndpointDirectory;
  room: PlacementRoom;
}

/** Returns log fields about endpoints that the queue could use if they were not kept from work. */
function explainMissing({ queue, directory }: WaitFacts): Record<string, unknown> {
  const countAllowed = (agents: EndpointAgent[], isAllowed = true): number =>
    agents.filter(
      ({ record }) =>
        record.pool === queue.pool && allowsDataCentre(queue, record.dataCentre) === isAllowed,
    ).length;
  return {
    ejected: countAllowed(directory.listEjected()),
    evacuated: countAllowed(directory.listEvacuated()),
    allowedRegions: queue.regions?.names.join(),
    inOtherRegions: queue.regions && countAllowed(directory.listAvailable(queue.pool), false),
  };
}

/** Returns log fields that explain why the tasks of a step wait. */
export function explainWait(facts: WaitFacts): Record<string, unknown> {
  const { ready, candidates, queue, usage, tickets, room } = facts;
  const { maxPerEndpoint } = ready.spec;
  const nowMs = performance.now();
  const count = (test: (candidate: FleetCandidate) => boolean): number =>
    candidates.filter(test).length;
  return {
    endpoints: candidates.length,
    ...explainMissing(facts),
    cold: count(({ cold }) => cold !== undefined),
    withRoom: count((candidate) => room.countSlots(ready, candidate, queue.priority) > 0),
    withinLimit: count((candidate) => usage.fits(candidate, ready.spec)),
    atStepLimit: count((it) => maxPerEndpoint > 0 && usage.countOn(it) >= maxPerEndpoint),
    withTicket: count(({ id }) => tickets.find(id, nowMs) !== undefined),
    suitable: count(({ id }) => tickets.suitabilityOf(id) === 'suitable'),
    unsuitable: count(({ id }) => tickets.suitabilityOf(id) === 'unsuitable'),
  };
}
