/** Endpoint that a query may name. */
export interface EndpointOption {
  id: string;
  /** Expected number of tasks that have room there when the answer arrives. */
  slots: number;
  /** Probability that the endpoint may run the step and still has the room. */
  probability: number;
}

/** Cost of a call to the advisor. */
export interface CallCost {
  /** Fixed part in milliseconds. */
  fixedMs: number;
  perEndpointMs: number;
}

const MIN_DEVIATION = 0.3;

/** Scale at which the logistic function approximates the normal distribution. */
const LOGISTIC_SCALE = 1.702;

/** Returns the probability that a normal variable is below `x` standard deviations. */
function normalBelow(x: number): number {
  return 1 / (1 + Math.exp(-LOGISTIC_SCALE * x));
}

/**
 * Chooses how many of the options, the first ones first, a query names to start `tasks` tasks: as
 * many as lower the cost of the call per task that it is expected to start. The fixed part of the
 * cost favours more endpoints, the part per endpoint fewer. Options beyond what the tasks need still
 * add some tasks, as the answer may name fewer of the others than expected.
 */
export function chooseEndpoints(
  options: readonly EndpointOption[],
  tasks: number,
  { fixedMs, perEndpointMs }: CallCost,
  maxEndpoints: number,
): EndpointOption[] {
  const chosen: EndpointOption[] = [];
  let meanSlots = 0;
  let variance = 0;
  let expectedTasks = 0;
  for (const option of options) {
    if (chosen.length >= maxEndpoints) break;
    const { slots, probability } = option;
    const deviation = Math.max(MIN_DEVIATION, Math.sqrt(variance));
    const gain = slots * probability * normalBelow((tasks - meanSlots) / deviation);
    const callMs = fixedMs + perEndpointMs * chosen.length;
    if (chosen.length > 0 && gain * callMs <= perEndpointMs * expectedTasks) break;
    chosen.push(option);
    expectedTasks += gain;
    meanSlots += slots * probability;
    variance += slots * slots * probability * (1 - probability);
  }
  return chosen;
}
