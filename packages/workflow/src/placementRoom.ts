import {
  addResources,
  maxResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@lagoongap/model/resources.js';

import { capacityFor, coldLoadOf } from './endpointWarmup.js';
import type { PlacementMode, Quarantine } from './quarantine.js';
import type { ReadyStep } from './readySteps.js';
import type { RoomHolds } from './roomHolds.js';
import type { RunLedger } from './runLedger.js';
import type { PlacementCandidate, PlacementUsage } from './stepPlacer.js';
import { countSlots, type FleetCandidate } from './endpointSlots.js';

/** Bounds within which the tasks of a step are placed. */
export interface PlacementBounds {
  step: ReadyStep;
  /** Priority of the queue of the step. */
  priority: number;
  /** Limit of the organisation, if it has one. */
  limit: Resources | undefined;
  mode: PlacementMode;
}

/** Dependencies of a {@link PlacementRoom}. */
export interface PlacementRoomOptions {
  ledger: RunLedger;
  quarantine: Quarantine;
  holds: RoomHolds;
  /** Returns the number of failed runs of a step on an endpoint. */
  countFailures: (step: string, endpoint: string) => number;
}

/** Priority of the queues whose work prefers warm endpoints. */
const URGENT_PRIORITY = 0;

/** Load that a run of a suspected task counts for another one, so that they are kept apart. */
const SUSPECT_LOAD = 20;

/** Returns the part of one vector that exceeds another. */
function exceed(a: Resources, b: Resources): Resources {
  return maxResources(NO_RESOURCES, subtractResources(a, b));
}

/** Tells how much of the endpoints and of an organisation's limit a step may use. */
export class PlacementRoom {
  private readonly opts: PlacementRoomOptions;

  constructor(opts: PlacementRoomOptions) {
    this.opts = opts;
  }

  /** Returns whether an endpoint has room for another task, without room held for others. */
  hasCapacity(candidate: PlacementCandidate, step: ReadyStep, priority: number): boolean {
    const { ledger } = this.opts;
    const { id, cold } = candidate;
    const { size, fillsIdleCapacity } = step.spec;
    const capacity = cold
      ? capacityFor(size, candidate, ledger.runsOn(id).size)
      : candidate.capacity;
    const open = this.openCapacity(id, capacity, step, priority);
    return ledger.hasCapacity(id, open, size, fillsIdleCapacity);
  }

  /** Returns how many more tasks of a step an endpoint can run, without room held for others. */
  countSlots(step: ReadyStep, candidate: FleetCandidate, priority: number): number {
    const capacity = this.openCapacity(candidate.id, candidate.capacity, step, priority);
    // Rarely is anything held; this runs for each endpoint and step of a scheduling cycle.
    const open = capacity === candidate.capacity ? candidate : { ...candidate, capacity };
    return countSlots(step, open, this.opts.ledger);
  }

  /** Returns whether the organisation stays within its limit with another task of a step. */
  isWithinLimit(bounds: Omit<PlacementBounds, 'mode'>): boolean {
    return this.fitsLimit(bounds, this.claimOnLimit(bounds));
  }

  /** Returns the usage that a placement of tasks has to take into account. */
  createUsage(bounds: PlacementBounds): PlacementUsage {
    const { ledger, quarantine, countFailures } = this.opts;
    const { step, priority, mode } = bounds;
    const isTrial = mode === 'trial';
    const hasCrashed = quarantine.hasCrashed(step);
    // Placements of the step do not change what is held against it.
    const claim = this.claimOnLimit(bounds);
    return {
      fits: (candidate) =>
        this.hasCapacity(candidate, step, priority) &&
        (!candidate.cold || candidate.cold.countStartsLeft() > 0) &&
        this.fitsLimit(bounds, claim) &&
        (isTrial ? quarantine.isIsolated(candidate.id, step) : quarantine.isOpen(candidate.id)),
      failuresOn: ({ id }) => countFailures(step.name, id),
      countOn: ({ id }) => ledger.countRuns(step.name, id),
      loadOf: ({ id, capacity, cold }) => {
        const bestEffortCpuMillis = step.spec.fillsIdleCapacity ? ledger.bestEffortCpuOn(id) : 0;
        const usedCpuMillis = ledger.usedOn(id).cpuMillis + bestEffortCpuMillis;
        const suspects = hasCrashed ? quarantine.countSuspects(id) * SUSPECT_LOAD : 0;
        const trialCost = isTrial || hasCrashed ? quarantine.costOfTrial(id) : 0;
        const load = usedCpuMillis / Math.max(1, capacity.cpuMillis);
        return load + suspects + trialCost + coldLoadOf(cold, priority === URGENT_PRIORITY);
      },
    };
  }

  /** Returns the capacity of an endpoint less what is held against a step. */
  private openCapacity(
    endpoint: string,
    capacity: Resources,
    { name, spec }: ReadyStep,
    priority: number,
  ): Resources {
    const held = this.opts.holds.heldAgainst(endpoint, name, priority, performance.now());
    if (held === NO_RESOURCES) return capacity;
    // A best-effort task uses only processor time that the holder of the room leaves idle.
    const cpuMillis = spec.fillsIdleCapacity ? 0 : held.cpuMillis;
    return subtractResources(capacity, { ...held, cpuMillis });
  }

  /** Returns a task of the step together with what is held against it in the limit. */
  private claimOnLimit({ step, priority, limit }: Omit<PlacementBounds, 'mode'>): Resources {
    const { size } = step.spec;
    if (!limit) return size;
    const { organisation } = step.job;
    const { holds, ledger } = this.opts;
    const held = holds.heldInLimit(organisation, step.name, priority, performance.now());
    return addResources(size, exceed(held, ledger.stoppingBy(organisation)));
  }

  private fitsLimit(
    { step, limit }: Pick<PlacementBounds, 'step' | 'limit'>,
    claim: Resources,
  ): boolean {
    return !limit || this.opts.ledger.isWithinLimit(step.job.organisation, limit, claim);
  }
}
