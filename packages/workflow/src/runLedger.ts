import { fitsInto, NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import { stepName, type TaskRef } from './jobSpec.js';
import { WorkflowError } from './workflowError.js';
import type { JobRecord } from './workflowRecords.js';

/** Resources that a run reserves on an endpoint, charged to an organisation. */
export interface Reservation {
  /** Unique name of the run. */
  key: string;
  endpoint: string;
  organisation: string;
  /** Name of the step of one occurrence, for the limit per endpoint. */
  stepName: string;
  size: Resources;
  fillsIdleCapacity: boolean;
}

/** Creates the reservation for a run; throws WorkflowError if the job has no such step. */
export function createReservation(
  job: JobRecord,
  { occurrence, step }: TaskRef,
  key: string,
  endpoint: string,
): Reservation {
  const spec = job.spec.steps[step];
  if (!spec) throw new WorkflowError(`job ${job.id} has no step ${step}`);
  return {
    key,
    endpoint,
    organisation: job.organisation,
    stepName: stepName(job.id, occurrence, step),
    size: spec.size,
    fillsIdleCapacity: spec.fillsIdleCapacity,
  };
}

/** Resources in use on an endpoint; updated in place. */
export interface EndpointUsage {
  used: Resources;
  /** Processor time requested by best-effort tasks; not included in `used`. */
  bestEffortCpuMillis: number;
  runs: Map<string, Reservation>;
}

function addResources(total: Resources, size: Resources, sign: 1 | -1): Resources {
  return {
    cpuMillis: total.cpuMillis + sign * size.cpuMillis,
    memoryMib: total.memoryMib + sign * size.memoryMib,
    accelerators: total.accelerators + sign * size.accelerators,
    slots: 0,
  };
}

/** Returns the part of a reservation that counts against the capacity of an endpoint. */
export function countedSize({ size, fillsIdleCapacity }: Reservation): Resources {
  return fillsIdleCapacity ? { ...size, cpuMillis: 0 } : size;
}

/**
 * Tracks resource usage of runs per endpoint and per organisation. A run counts from the placement
 * decision until its end is committed, including while it is being stopped or its state is unknown.
 */
export class RunLedger {
  private readonly reservations = new Map<string, Reservation>();
  private readonly endpoints = new Map<string, EndpointUsage>();
  private readonly organisations = new Map<string, Resources>();
  /** Runs that are about to end, as they were stopped for other work. */
  private readonly stopping = new Set<string>();
  /** Endpoint of each release of a run or a hold, in order. */
  private releases: string[] = [];
  /** Number of releases removed from the front of `releases`. */
  private discardedReleases = 0;

  /** Total number of releases. */
  get releaseCount(): number {
    return this.discardedReleases + this.releases.length;
  }

  /** Returns the endpoints of all releases after the first `count`. */
  listReleases(count: number): string[] {
    return this.releases.slice(Math.max(0, count - this.discardedReleases));
  }

  /** Discards the list of releases; `releaseCount` is unchanged. */
  discardReleases(): void {
    this.discardedReleases += this.releases.length;
    this.releases = [];
  }

  /** Adds a run; does nothing if it is already counted. */
  reserve(reservation: Reservation): void {
    if (this.reservations.has(reservation.key)) return;
    this.reservations.set(reservation.key, reservation);
    const usage = this.usageOf(reservation.endpoint);
    usage.runs.set(reservation.key, reservation);
    this.applyUsage(reservation, usage, 1);
  }

  /** Removes a run whose capacity has become free. */
  release(key: string): void {
    const endpoint = this.reservations.get(key)?.endpoint;
    if (endpoint === undefined) return;
    this.withdraw(key);
    this.releases.push(endpoint);
  }

  /** Records that steps may use more of an endpoint, as room on it is no longer held for another. */
  recordUnheld(endpoint: string): void {
    this.releases.push(endpoint);
  }

  /** Removes a tentative reservation; not recorded as a release, as no capacity became free. */
  withdraw(key: string): void {
    const reservation = this.reservations.get(key);
    if (!reservation) return;
    this.reservations.delete(key);
    this.stopping.delete(key);
    const usage = this.usageOf(reservation.endpoint);
    usage.runs.delete(key);
    this.applyUsage(reservation, usage, -1);
  }

  /** Sets whether a run is about to end, as it was stopped for other work. */
  setStopping(key: string, isStopping: boolean): void {
    if (isStopping && this.reservations.has(key)) this.stopping.add(key);
    else this.stopping.delete(key);
  }

  /** Returns whether a run still counts and is about to end. */
  isStopping(key: string): boolean {
    return this.stopping.has(key);
  }

  /** Returns the resources of an organisation that are in use and about to become free. */
  stoppingBy(organisation: string): Resources {
    let sum: Resources = NO_RESOURCES;
    for (const key of this.stopping) {
      const run = this.reservations.get(key);
      if (run?.organisation === organisation) sum = addResources(sum, run.size, 1);
    }
    return sum;
  }

  /** Returns the runs counted on an endpoint. */
  runsOn(endpoint: string): ReadonlyMap<string, Reservation> {
    return this.usageOf(endpoint).runs;
  }

  /** Returns the resources in use on an endpoint. */
  usedOn(endpoint: string): Resources {
    return this.usageOf(endpoint).used;
  }

  /** Returns the processor time requested by best-effort tasks on an endpoint. */
  bestEffortCpuOn(endpoint: string): number {
    return this.usageOf(endpoint).bestEffortCpuMillis;
  }

  /** Returns the resources in use by an organisation. */
  usedBy(organisation: string): Resources {
    return this.organisations.get(organisation) ?? NO_RESOURCES;
  }

  /** Returns the number of runs of a step on an endpoint. */
  countRuns(step: string, endpoint: string): number {
    let count = 0;
    for (const run of this.usageOf(endpoint).runs.values()) if (run.stepName === step) count += 1;
    return count;
  }

  /** Returns whether a run fits into the free capacity of an endpoint. */
  hasCapacity(
    endpoint: string,
    capacity: Resources,
    size: Resources,
    isBestEffort: boolean,
  ): boolean {
    const { used } = this.usageOf(endpoint);
    const cpuMillis = isBestEffort ? 0 : size.cpuMillis;
    return (
      used.cpuMillis + cpuMillis <= capacity.cpuMillis &&
      used.memoryMib + size.memoryMib <= capacity.memoryMib &&
      used.accelerators + size.accelerators <= capacity.accelerators
    );
  }

  /** Returns whether the given runs on an endpoint, by default all, are within its capacity. */
  isWithinCapacity(endpoint: string, capacity: Resources, keys?: ReadonlySet<string>): boolean {
    const usage = this.usageOf(endpoint);
    let total = usage.used;
    if (keys) {
      total = NO_RESOURCES;
      for (const key of keys) {
        const reservation = usage.runs.get(key);
        if (reservation) total = addResources(total, countedSize(reservation), 1);
      }
    }
    return fitsInto(total, capacity);
  }

  /** Returns whether an organisation stays within its limit with another run; 0 means no limit. */
  isWithinLimit(organisation: string, limit: Resources, size: Resources): boolean {
    const total = addResources(this.usedBy(organisation), size, 1);
    const isOver = (amount: number, max: number): boolean => max > 0 && amount > max;
    return (
      !isOver(total.cpuMillis, limit.cpuMillis) &&
      !isOver(total.memoryMib, limit.memoryMib) &&
      !isOver(total.accelerators, limit.accelerators)
    );
  }

  /** Returns the usage of an endpoint, which stays the same object. */
  usageOf(endpoint: string): EndpointUsage {
    let usage = this.endpoints.get(endpoint);
    if (!usage) {
      usage = { used: NO_RESOURCES, bestEffortCpuMillis: 0, runs: new Map() };
      this.endpoints.set(endpoint, usage);
    }
    return usage;
  }

  private applyUsage(reservation: Reservation, usage: EndpointUsage, sign: 1 | -1): void {
    const { size, fillsIdleCapacity, organisation } = reservation;
    usage.used = addResources(usage.used, countedSize(reservation), sign);
    if (fillsIdleCapacity) usage.bestEffortCpuMillis += sign * size.cpuMillis;
    this.organisations.set(organisation, addResources(this.usedBy(organisation), size, sign));
  }
}
