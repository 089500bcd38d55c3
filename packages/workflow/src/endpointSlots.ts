import type { Resources } from '@lagoongap/model/resources.js';

import { capacityFor } from './endpointWarmup.js';
import type { ReadyStep } from './readySteps.js';
import type { EndpointUsage, RunLedger } from './runLedger.js';
import type { PlacementCandidate } from './stepPlacer.js';

/** Placement candidate with its usage, which is updated in place. */
export interface FleetCandidate extends PlacementCandidate {
  usage: EndpointUsage;
}

/** Returns how many times `need` fits into `free`, which is negative after capacity has shrunk. */
function countFits(free: number, need: number): number {
  if (free < Math.max(0, need)) return 0;
  return need > 0 ? Math.floor(free / need) : Number.MAX_SAFE_INTEGER;
}

/** Returns how many more tasks of a step an endpoint can run, given its capacity and the limit. */
export function countSlots(
  { name, spec: { taskCount, maxPerEndpoint, size, fillsIdleCapacity } }: ReadyStep,
  candidate: FleetCandidate,
  ledger: RunLedger,
): number {
  const { id, usage } = candidate;
  const { used } = usage;
  const capacity = capacityFor(size, candidate, usage.runs.size);
  let slots = maxPerEndpoint > 0 ? maxPerEndpoint : taskCount;
  const cpuMillis = fillsIdleCapacity ? 0 : size.cpuMillis;
  slots = Math.min(slots, countFits(capacity.cpuMillis - used.cpuMillis, cpuMillis));
  slots = Math.min(slots, countFits(capacity.memoryMib - used.memoryMib, size.memoryMib));
  slots = Math.min(slots, countFits(capacity.accelerators - used.accelerators, size.accelerators));
  if (candidate.cold) slots = Math.min(slots, candidate.cold.countStartsLeft());
  if (slots === 0 || maxPerEndpoint === 0) return slots;
  return Math.min(slots, Math.max(0, maxPerEndpoint - ledger.countRuns(name, id)));
}

/**
 * Returns the expected number of tasks that still fit once others use `reserved`, which is a
 * fraction of a task where their use is uncertain.
 */
export function countExpectedSlots(
  slots: number,
  { spec: { size, fillsIdleCapacity } }: ReadyStep,
  { capacity, usage: { used } }: FleetCandidate,
  reserved: Resources,
): number {
  const fit = (free: number, need: number): number => (need > 0 ? free / need : Infinity);
  const cpuMillis = fillsIdleCapacity ? 0 : size.cpuMillis;
  return Math.max(
    0,
    Math.min(
      slots,
      fit(capacity.cpuMillis - used.cpuMillis - reserved.cpuMillis, cpuMillis),
      fit(capacity.memoryMib - used.memoryMib - reserved.memoryMib, size.memoryMib),
      fit(capacity.accelerators - used.accelerators - reserved.accelerators, size.accelerators),
    ),
  );
}
