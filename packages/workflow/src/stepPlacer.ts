import type { Resources } from '@lagoongap/model/resources.js';

import type { ColdLimits } from './endpointWarmup.js';
import type { StepSpec } from './jobSpec.js';

/** An endpoint considered for the placement of tasks. */
export interface PlacementCandidate {
  id: string;
  kind: string;
  rack: string;
  labels: string[];
  /** Part that it takes at present; all of it unless the endpoint is cold. */
  capacity: Resources;
  /** Present while the endpoint is cold. */
  cold?: ColdLimits;
  /** Expected duration of a task as a multiple of its estimate. */
  durationFactor: number;
  /** Runs tasks with a latency target. */
  isLatencySensitive: boolean;
}

/** Current usage and limits, including all placements decided so far. */
export interface PlacementUsage {
  /** Returns whether one more task of the step fits on the endpoint. */
  fits: (candidate: PlacementCandidate, spec: StepSpec) => boolean;
  /** Returns the number of tasks of the step on the endpoint. */
  countOn: (candidate: PlacementCandidate) => number;
  /** Returns the number of runs of the step that failed or stalled on the endpoint. */
  failuresOn: (candidate: PlacementCandidate) => number;
  /** Returns the share of the endpoint's processor time in use, 0 to 1 and above. */
  loadOf: (candidate: PlacementCandidate) => number;
}

/** How the endpoints for a step are weighed, if its expected duration and slack are known. */
export interface PlacementPreference {
  /** Duration factor up to which endpoints are in time and left to more urgent work; 0 for none. */
  patientFactor: number;
}

/** Cost of a fully loaded endpoint compared with an idle one, in multiples of the estimate. */
const LOAD_WEIGHT = 0.25;

/** Weight by which patient work prefers slow endpoints; below 1, as it uses them for longer. */
const PATIENCE_WEIGHT = 0.5;

/** Part of an endpoint from which a task counts as large. */
const LARGE_TASK_SHARE = 0.25;

/** Additional cost of placing a best-effort task next to latency-sensitive tasks. */
const INTERFERENCE_COST = 5;

/** Additional cost per failed run of the step on the endpoint. */
const FAILURE_COST = 3;

function isAllowed(candidate: PlacementCandidate, spec: StepSpec, usage: PlacementUsage): boolean {
  if (spec.requiredLabel !== '' && !candidate.labels.includes(spec.requiredLabel)) return false;
  if (spec.maxPerEndpoint > 0 && usage.countOn(candidate) >= spec.maxPerEndpoint) return false;
  return usage.fits(candidate, spec);
}

/** An endpoint that may run a task of the step, and its cost. */
interface Option {
  candidate: PlacementCandidate;
  cost: number;
}

/**
 * Chooses endpoints for the tasks of one step, one after the other: the one where a task is expected
 * to end first, with a preference for lightly loaded endpoints and for separating best-effort from
 * latency-sensitive tasks. Costs are computed once per endpoint, as only a placement changes them.
 */
export class EndpointSelector {
  private readonly spec: StepSpec;
  private readonly usage: PlacementUsage;
  private readonly farFactor: number;
  private readonly preference: PlacementPreference | undefined;
  private readonly options: Option[] = [];

  /** @param farFactor - Slowdown factor of a task that runs outside the rack of its data. */
  constructor(
    spec: StepSpec,
    candidates: readonly PlacementCandidate[],
    usage: PlacementUsage,
    farFactor: number,
    preference?: PlacementPreference,
  ) {
    this.spec = spec;
    this.preference = preference;
    this.usage = usage;
    this.farFactor = farFactor;
    for (const candidate of candidates) {
      if (!isAllowed(candidate, spec, usage)) continue;
      this.options.push({ candidate, cost: this.costOf(candidate) });
    }
  }

  /** Returns the best endpoint for one more task, or undefined if there is none. */
  choose(): PlacementCandidate | undefined {
    let best: Option | undefined;
    for (const option of this.options) if (!best || option.cost < best.cost) best = option;
    // The limit of the organisation may have been reached; it is the same for all endpoints.
    return best && this.usage.fits(best.candidate, this.spec) ? best.candidate : undefined;
  }

  /** Re-evaluates an endpoint on which a task has been placed. */
  refresh(candidate: PlacementCandidate): void {
    const index = this.options.findIndex((option) => option.candidate === candidate);
    if (index < 0) return;
    if (isAllowed(candidate, this.spec, this.usage)) {
      this.options[index]!.cost = this.costOf(candidate);
    } else {
      this.options.splice(index, 1);
    }
  }

  private costOf(candidate: PlacementCandidate): number {
    const { spec, usage, farFactor } = this;
    const isRemote = spec.dataRack !== '' && candidate.rack !== spec.dataRack;
    let cost = this.durationCost(candidate.durationFactor * (isRemote ? farFactor : 1));
    cost += this.loadCost(candidate);
    cost += FAILURE_COST * usage.failuresOn(candidate);
    if (spec.fillsIdleCapacity && candidate.isLatencySensitive) cost += INTERFERENCE_COST;
    return cost;
  }

  /** Urgent work prefers fast endpoints, patient work slow ones on which it is in time. */
  private durationCost(factor: number): number {
    const { patientFactor = 0 } = this.preference ?? {};
    return factor <= patientFactor ? -PATIENCE_WEIGHT * factor : factor;
  }

  /**
   * Large tasks fill endpoints up, so that others stay whole; small ones are spread. The tasks of one
   * step are always spread, so that the loss of an endpoint does not take most of them.
   */
  private loadCost(candidate: PlacementCandidate): number {
    const { spec, usage, preference } = this;
    const load = usage.loadOf(candidate);
    const isLarge = spec.size.cpuMillis > candidate.capacity.cpuMillis * LARGE_TASK_SHARE;
    // Above 1 the load includes what keeps suspected tasks apart.
    const mayBeFilled = preference !== undefined && isLarge && load <= 1;
    return (mayBeFilled && usage.countOn(candidate) === 0 ? -LOAD_WEIGHT : LOAD_WEIGHT) * load;
  }
}

/**
 * Chooses endpoints for all members of a gang, or none. A rack-local gang is placed in the first
 * rack with enough capacity for it, or spread over several racks if there is none.
 *
 * @param trial - Reserves capacity for a chosen endpoint, so that the next choice takes it into
 * account, and releases everything reserved in this call.
 */
export function chooseGangEndpoints(
  spec: StepSpec,
  candidates: PlacementCandidate[],
  usage: PlacementUsage,
  farFactor: number,
  trial: { reserve: (candidate: PlacementCandidate) => void; release: () => void },
): PlacementCandidate[] | undefined {
  const racks = [...new Set(candidates.map(({ rack }) => rack))];
  const groups = spec.isRackLocal
    ? racks.map((rack) => candidates.filter((candidate) => candidate.rack === rack))
    : [];
  for (const group of [...groups, candidates]) {
    const endpoints: PlacementCandidate[] = [];
    const selector = new EndpointSelector(spec, group, usage, farFactor);
    while (endpoints.length < spec.taskCount) {
      const endpoint = selector.choose();
      if (!endpoint) break;
      trial.reserve(endpoint);
      selector.refresh(endpoint);
      endpoints.push(endpoint);
    }
    if (endpoints.length === spec.taskCount) return endpoints;
    trial.release();
  }
  return undefined;
}
