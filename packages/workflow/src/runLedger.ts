import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import { stepName, type TaskRef } from './jobSpec.js';
import { WorkflowError } from './workflowError.js';
import type { JobRecord } from './workflowRecords.js';

/** What a run takes, and from whom. */
export interface Reservation {
  /** Unique name of the run. */
  key: string;
  endpoint: string;
  organisation: string;
  /** Step of one occurrence, for bounds per endpoint. */
  stepName: string;
  size: Resources;
  fillsIdleCapacity: boolean;
}

/** Returns what a run of a task takes; throws WorkflowError if the job has no such step. */
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

interface EndpointUse {
  used: Resources;
  /** Processor time that filling tasks ask for; not counted as used. */
  fillingCpuMillis: number;
  runs: Map<string, Reservation>;
}

function add(total: Resources, size: Resources, sign: 1 | -1): Resources {
  return {
    cpuMillis: total.cpuMillis + sign * size.cpuMillis,
    memoryMib: total.memoryMib + sign * size.memoryMib,
    accelerators: total.accelerators + sign * size.accelerators,
    slots: 0,
  };
}

/**
 * Adds up what runs hold on endpoints and for organisations. A run counts from the decision to
 * start it until its end is recorded, also while it is being stopped or its fate is unknown.
 */
export class RunLedger {
  private readonly reservations = new Map<string, Reservation>();
  private readonly endpoints = new Map<string, EndpointUse>();
  private readonly organisations = new Map<string, Resources>();
  /** Endpoints in the order in which runs on them were released. */
  private releases: string[] = [];
  /** Releases that were forgotten. */
  private forgottenReleases = 0;

  /** Number of releases so far. */
  get releaseCount(): number {
    return this.forgottenReleases + this.releases.length;
  }

  /** Endpoints on which runs were released after the first `count` releases. */
  listReleases(count: number): string[] {
    return this.releases.slice(Math.max(0, count - this.forgottenReleases));
  }

  /** Forgets which endpoints had releases. */
  forgetReleases(): void {
    this.forgottenReleases += this.releases.length;
    this.releases = [];
  }

  /** Counts a run; a run that is already counted stays as it is. */
  reserve(reservation: Reservation): void {
    if (this.reservations.has(reservation.key)) return;
    this.reservations.set(reservation.key, reservation);
    const use = this.useOf(reservation.endpoint);
    use.runs.set(reservation.key, reservation);
    this.count(reservation, use, 1);
  }

  /** Stops counting a run. */
  release(key: string): void {
    const endpoint = this.reservations.get(key)?.endpoint;
    if (endpoint === undefined) return;
    this.withdraw(key);
    this.releases.push(endpoint);
  }

  /** Takes back a reservation that was only a trial, so that no room has become free. */
  withdraw(key: string): void {
    const reservation = this.reservations.get(key);
    if (!reservation) return;
    this.reservations.delete(key);
    const use = this.useOf(reservation.endpoint);
    use.runs.delete(key);
    this.count(reservation, use, -1);
  }

  /** Runs that count on an endpoint. */
  runsOn(endpoint: string): ReadonlyMap<string, Reservation> {
    return this.useOf(endpoint).runs;
  }

  /** Amount that runs hold on an endpoint. */
  usedOn(endpoint: string): Resources {
    return this.useOf(endpoint).used;
  }

  /** Processor time that filling tasks on an endpoint ask for. */
  fillingOn(endpoint: string): number {
    return this.useOf(endpoint).fillingCpuMillis;
  }

  /** Amount that an organisation has running. */
  usedBy(organisation: string): Resources {
    return this.organisations.get(organisation) ?? NO_RESOURCES;
  }

  /** Number of runs of a step on an endpoint. */
  countOf(step: string, endpoint: string): number {
    let count = 0;
    for (const run of this.useOf(endpoint).runs.values()) if (run.stepName === step) count += 1;
    return count;
  }

  /** Tells whether a run fits into the room that is left on an endpoint. */
  hasRoom(endpoint: string, capacity: Resources, size: Resources, fills: boolean): boolean {
    const { used } = this.useOf(endpoint);
    const cpuMillis = fills ? 0 : size.cpuMillis;
    return (
      used.cpuMillis + cpuMillis <= capacity.cpuMillis &&
      used.memoryMib + size.memoryMib <= capacity.memoryMib &&
      used.accelerators + size.accelerators <= capacity.accelerators
    );
  }

  /** Tells whether a run keeps an organisation within its limit; 0 means no limit. */
  isWithinLimit(organisation: string, limit: Resources, size: Resources): boolean {
    const wanted = add(this.usedBy(organisation), size, 1);
    const isOver = (amount: number, most: number): boolean => most > 0 && amount > most;
    return (
      !isOver(wanted.cpuMillis, limit.cpuMillis) &&
      !isOver(wanted.memoryMib, limit.memoryMib) &&
      !isOver(wanted.accelerators, limit.accelerators)
    );
  }

  private count(reservation: Reservation, use: EndpointUse, sign: 1 | -1): void {
    const { size, fillsIdleCapacity, organisation } = reservation;
    const counted = fillsIdleCapacity ? { ...size, cpuMillis: 0 } : size;
    use.used = add(use.used, counted, sign);
    if (fillsIdleCapacity) use.fillingCpuMillis += sign * size.cpuMillis;
    this.organisations.set(organisation, add(this.usedBy(organisation), size, sign));
  }

  private useOf(endpoint: string): EndpointUse {
    let use = this.endpoints.get(endpoint);
    if (!use) {
      use = { used: NO_RESOURCES, fillingCpuMillis: 0, runs: new Map() };
      this.endpoints.set(endpoint, use);
    }
    return use;
  }
}
