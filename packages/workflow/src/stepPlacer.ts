import type { Resources } from '@lagoongap/model/resources.js';

import type { StepSpec } from './jobSpec.js';

/** An endpoint that may take tasks of a step, as the placer sees it. */
export interface PlacementCandidate {
  id: string;
  kind: string;
  rack: string;
  labels: string[];
  capacity: Resources;
  /** Expected duration of a task as a multiple of its estimate. */
  durationFactor: number;
  /** Serving tasks with a latency target run there. */
  isServing: boolean;
}

/** Room and bounds, as they stand with everything that was decided so far. */
export interface PlacementRoom {
  /** Tells whether one more task of the step fits on the endpoint. */
  fits: (candidate: PlacementCandidate, spec: StepSpec) => boolean;
  /** Tasks of the step on the endpoint. */
  countOn: (candidate: PlacementCandidate) => number;
  /** Runs of the step that failed or stood still on the endpoint. */
  troubleOn: (candidate: PlacementCandidate) => number;
  /** Part of the endpoint's processor time that is taken, 0 to 1 and above. */
  loadOf: (candidate: PlacementCandidate) => number;
}

/** Cost of load against speed: a full endpoint counts as this much slower than an empty one. */
const LOAD_WEIGHT = 0.25;

/** Added cost of a place where filling tasks would disturb serving ones. */
const INTERFERENCE_COST = 5;

/** Added cost of each run of the step that went wrong there. */
const TROUBLE_COST = 3;

function isAllowed(candidate: PlacementCandidate, spec: StepSpec, room: PlacementRoom): boolean {
  if (spec.requiredLabel !== '' && !candidate.labels.includes(spec.requiredLabel)) return false;
  if (spec.maxPerEndpoint > 0 && room.countOn(candidate) >= spec.maxPerEndpoint) return false;
  return room.fits(candidate, spec);
}

/**
 * Chooses where one task of a step runs: the place where it is expected to end first, with a
 * preference for free endpoints and against mixing filling with serving tasks.
 *
 * @param farFactor - How much longer a task takes away from its data.
 */
export function choosePlace(
  spec: StepSpec,
  candidates: PlacementCandidate[],
  room: PlacementRoom,
  farFactor: number,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const isFar = spec.dataRack !== '' && candidate.rack !== spec.dataRack;
    let cost = candidate.durationFactor * (isFar ? farFactor : 1);
    cost += LOAD_WEIGHT * room.loadOf(candidate);
    cost += TROUBLE_COST * room.troubleOn(candidate);
    if (spec.fillsIdleCapacity && candidate.isServing) cost += INTERFERENCE_COST;
    if (cost >= bestCost || !isAllowed(candidate, spec, room)) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/**
 * Chooses places for all members of a gang, or none. A gang that is slower over several racks is
 * kept in the first rack that holds it, if one does.
 *
 * @param reserve - Counts a chosen place, so that the next choice sees it.
 * @param release - Takes back everything counted by `reserve` in this call.
 */
export function chooseGangPlaces(
  spec: StepSpec,
  candidates: PlacementCandidate[],
  room: PlacementRoom,
  farFactor: number,
  trial: { reserve: (candidate: PlacementCandidate) => void; release: () => void },
): PlacementCandidate[] | undefined {
  const racks = [...new Set(candidates.map(({ rack }) => rack))];
  const groups = spec.isRackLocal
    ? racks.map((rack) => candidates.filter((candidate) => candidate.rack === rack))
    : [];
  for (const group of [...groups, candidates]) {
    const places: PlacementCandidate[] = [];
    while (places.length < spec.taskCount) {
      const place = choosePlace(spec, group, room, farFactor);
      if (!place) break;
      trial.reserve(place);
      places.push(place);
    }
    if (places.length === spec.taskCount) return places;
    trial.release();
  }
  return undefined;
}
