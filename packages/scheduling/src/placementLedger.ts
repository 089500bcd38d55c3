import type { Team } from '@lagoongap/model/clusterConfig.js';
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  maxResources,
  subtractResources,
} from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt } from '@lagoongap/model/workload.js';

import { accumulate, ceilResources, fitsWithReserved, multiplyResources } from './resourceMath.js';
import { SchedulingError } from './schedulingError.js';

/** Reservation of one attempt, with its declared, observed and reserved sizes. */
export interface LedgerEntry {
  readonly attempt: Attempt;
  /** Current reservation; may differ from the size at placement once usage is observed. */
  reserved: Resources;
  /** Last reported usage; zero before the first report. */
  observed: Resources;
  /** Largest reported usage in each dimension. */
  peak: Resources;
  /** Time of placement; absent for an attempt that was placed under an earlier leader. */
  readonly placedAtMs: number | undefined;
  /** Increases with each reservation, so that the newest one has the largest number. */
  readonly sequence: number;
}

/** Reserved and observed resources of one endpoint. */
export interface EndpointAccount {
  readonly id: string;
  /** Announced size; zero while the endpoint is not registered. */
  capacity: Resources;
  readonly reserved: Resources;
  readonly observed: Resources;
  /** Part of the reservation that belongs to services. */
  readonly serviceReserved: Resources;
  readonly entries: Map<string, LedgerEntry>;
  isRegistered: boolean;
}

/** Reserved resources of one team. */
export interface TeamAccount {
  readonly name: string;
  limit: Team['limit'];
  readonly reserved: Resources;
  readonly entries: Map<string, LedgerEntry>;
}

/** Called after the free capacity of an endpoint has changed. */
export type FreeCapacityListener = (account: EndpointAccount) => void;

/**
 * Accounts for the reservations on each endpoint and of each team. It is the only component
 * that reserves and frees capacity, and it refuses any new reservation that would overcommit
 * an endpoint or exceed the upper limit of a team.
 *
 * Reservations last until they are freed, even if their endpoint is unresponsive, leaving or
 * removed.
 */
export class PlacementLedger {
  private readonly endpoints = new Map<string, EndpointAccount>();
  private readonly teams = new Map<string, TeamAccount>();
  private readonly entries = new Map<string, LedgerEntry>();
  /** Attempt identifiers by unit, then by task index. */
  private readonly tasks = new Map<string, Map<number, string>>();
  /** Adopted attempts of tasks for which a later attempt was adopted as well. */
  private readonly superseded = new Set<string>();
  private sequence = 0;

  constructor(private readonly onFreeCapacityChange: FreeCapacityListener = () => {}) {}

  /** Number of reservations. */
  get size(): number {
    return this.entries.size;
  }

  /** Sets the announced size of an endpoint; it may be smaller than what is reserved. */
  setCapacity(endpointId: string, capacity: Resources): void {
    const account = this.getOrCreateEndpoint(endpointId);
    account.capacity = { ...capacity };
    account.isRegistered = true;
    this.onFreeCapacityChange(account);
  }

  /** Sets the capacity of an endpoint to zero; its reservations stay until they are freed. */
  removeCapacity(endpointId: string): void {
    const account = this.endpoints.get(endpointId);
    if (!account) return;
    account.capacity = { ...NO_RESOURCES };
    account.isRegistered = false;
    this.onFreeCapacityChange(account);
    this.removeIfUnused(account);
  }

  /** Sets the upper limit of a team; absent dimensions are not limited. */
  setLimit(team: string, limit: Team['limit']): void {
    this.getOrCreateTeam(team).limit = limit;
  }

  /** Returns the account of an endpoint that is registered or has reservations. */
  findEndpoint(endpointId: string): EndpointAccount | undefined {
    return this.endpoints.get(endpointId);
  }

  /** Returns the account of a team and creates it on first use. */
  getOrCreateTeam(team: string): TeamAccount {
    let account = this.teams.get(team);
    if (!account) {
      account = { name: team, limit: {}, reserved: { ...NO_RESOURCES }, entries: new Map() };
      this.teams.set(team, account);
    }
    return account;
  }

  /** Returns the reservation of an attempt. */
  findEntry(attemptId: string): LedgerEntry | undefined {
    return this.entries.get(attemptId);
  }

  listEndpoints(): Iterable<EndpointAccount> {
    return this.endpoints.values();
  }

  listTeams(): Iterable<TeamAccount> {
    return this.teams.values();
  }

  /** Returns the reservations of all attempts of a unit. */
  listUnitEntries(unitId: string): LedgerEntry[] {
    const attempts = this.tasks.get(unitId)?.values() ?? [];
    return [...attempts].map((attemptId) => this.entries.get(attemptId)!);
  }

  /** Returns whether an attempt of this task holds a reservation. */
  isTaskActive(unitId: string, taskIndex: number): boolean {
    return this.tasks.get(unitId)?.has(taskIndex) ?? false;
  }

  /** Returns whether an endpoint has free capacity for `size` in every dimension. */
  fitsEndpoint(endpointId: string, size: Resources): boolean {
    const account = this.endpoints.get(endpointId);
    return (
      account !== undefined &&
      account.isRegistered &&
      fitsWithReserved(size, account.reserved, account.capacity)
    );
  }

  /** Returns whether a team stays within its upper limit with `count` more tasks of `size`. */
  fitsTeamLimit(team: string, size: Resources, count = 1): boolean {
    const account = this.getOrCreateTeam(team);
    const { limit, reserved, entries } = account;
    if (limit.tasks !== undefined && entries.size + count > limit.tasks) return false;
    for (const name of RESOURCE_NAMES) {
      const max = limit[name];
      if (max !== undefined && reserved[name] + size[name] * count > max) return false;
    }
    return true;
  }

  /** Returns whether the reservations of a team exceed its upper limit. */
  exceedsLimit(team: string): boolean {
    return !this.fitsTeamLimit(team, NO_RESOURCES, 0);
  }

  /**
   * Reserves the size of a new attempt.
   *
   * @throws SchedulingError if the endpoint lacks free capacity, if the upper limit of the team
   * is exceeded, or if an attempt of the same task still holds a reservation.
   */
  reserve(attempt: Attempt, nowMs: number): LedgerEntry {
    if (!this.fitsEndpoint(attempt.endpointId, attempt.size)) {
      throw new SchedulingError(
        `endpoint ${attempt.endpointId} lacks free capacity for attempt ${attempt.id}`,
      );
    }
    if (this.entries.has(attempt.id) || this.isTaskActive(attempt.unitId, attempt.taskIndex)) {
      throw new SchedulingError(
        `task ${attempt.unitId}#${attempt.taskIndex} already holds a reservation`,
      );
    }
    if (!this.fitsTeamLimit(attempt.team, attempt.size)) {
      throw new SchedulingError(
        `attempt ${attempt.id} exceeds the upper limit of team ${attempt.team}`,
      );
    }
    return this.insert(attempt, nowMs);
  }

  /**
   * Records the reservation of an attempt that has already been placed. This succeeds even if
   * the endpoint or the team is unknown or exceeds its capacity or limit.
   */
  adopt(attempt: Attempt): LedgerEntry {
    const existing = this.entries.get(attempt.id);
    if (existing) return existing;
    const earlier = this.tasks.get(attempt.unitId)?.get(attempt.taskIndex);
    if (earlier !== undefined) this.superseded.add(earlier);
    return this.insert(attempt, undefined);
  }

  /**
   * Records reported usage and raises a lower reservation to it, even beyond the size of the
   * endpoint, which then takes no new work.
   */
  observe(attemptId: string, usage: Resources): LedgerEntry | undefined {
    const entry = this.entries.get(attemptId);
    if (!entry) return undefined;
    const account = this.endpoints.get(entry.attempt.endpointId)!;
    // Integers keep the sums exact over millions of reservations.
    const rounded = ceilResources(usage);
    accumulate(account.observed, entry.observed, -1);
    accumulate(account.observed, rounded, 1);
    entry.observed = rounded;
    entry.peak = maxResources(entry.peak, rounded);
    this.resize(entry, maxResources(entry.reserved, rounded));
    return entry;
  }

  /** Lowers a reservation to `size`, but not below the observed usage. */
  shrink(attemptId: string, size: Resources): void {
    const entry = this.entries.get(attemptId);
    if (entry) this.resize(entry, maxResources(size, entry.observed));
  }

  /** Frees the reservation of an attempt. */
  free(attemptId: string): LedgerEntry | undefined {
    const entry = this.entries.get(attemptId);
    if (!entry) return undefined;
    const { attempt } = entry;
    this.entries.delete(attemptId);
    this.removeFromTaskIndex(attempt);
    const account = this.endpoints.get(attempt.endpointId)!;
    account.entries.delete(attemptId);
    accumulate(account.observed, entry.observed, -1);
    const team = this.getOrCreateTeam(attempt.team);
    team.entries.delete(attemptId);
    this.adjustReserved(entry, entry.reserved, -1);
    this.removeIfUnused(account);
    return entry;
  }

  private insert(attempt: Attempt, placedAtMs: number | undefined): LedgerEntry {
    this.sequence += 1;
    const entry: LedgerEntry = {
      attempt,
      reserved: { ...attempt.size },
      observed: { ...NO_RESOURCES },
      peak: { ...NO_RESOURCES },
      placedAtMs,
      sequence: this.sequence,
    };
    this.entries.set(attempt.id, entry);
    const tasks = this.tasks.get(attempt.unitId) ?? new Map<number, string>();
    tasks.set(attempt.taskIndex, attempt.id);
    this.tasks.set(attempt.unitId, tasks);
    this.getOrCreateEndpoint(attempt.endpointId).entries.set(attempt.id, entry);
    this.getOrCreateTeam(attempt.team).entries.set(attempt.id, entry);
    this.adjustReserved(entry, entry.reserved, 1);
    return entry;
  }

  private resize(entry: LedgerEntry, size: Resources): void {
    if (RESOURCE_NAMES.every((name) => entry.reserved[name] === size[name])) return;
    const change = subtractResources(size, entry.reserved);
    entry.reserved = size;
    this.adjustReserved(entry, change, 1);
  }

  private adjustReserved(entry: LedgerEntry, size: Resources, factor: 1 | -1): void {
    const account = this.getOrCreateEndpoint(entry.attempt.endpointId);
    accumulate(account.reserved, size, factor);
    if (entry.attempt.kind === 'service') accumulate(account.serviceReserved, size, factor);
    accumulate(this.getOrCreateTeam(entry.attempt.team).reserved, size, factor);
    this.onFreeCapacityChange(account);
  }

  private removeFromTaskIndex(attempt: Attempt): void {
    if (this.superseded.delete(attempt.id)) return;
    const tasks = this.tasks.get(attempt.unitId);
    tasks?.delete(attempt.taskIndex);
    const earlier = [...this.superseded]
      .map((id) => this.entries.get(id)!.attempt)
      .find(
        ({ unitId, taskIndex }) => unitId === attempt.unitId && taskIndex === attempt.taskIndex,
      );
    if (earlier) {
      this.superseded.delete(earlier.id);
      tasks?.set(earlier.taskIndex, earlier.id);
    }
    if (tasks?.size === 0) this.tasks.delete(attempt.unitId);
  }

  private getOrCreateEndpoint(id: string): EndpointAccount {
    let account = this.endpoints.get(id);
    if (!account) {
      account = {
        id,
        capacity: { ...NO_RESOURCES },
        reserved: { ...NO_RESOURCES },
        observed: { ...NO_RESOURCES },
        serviceReserved: { ...NO_RESOURCES },
        entries: new Map(),
        isRegistered: false,
      };
      this.endpoints.set(id, account);
    }
    return account;
  }

  private removeIfUnused(account: EndpointAccount): void {
    if (!account.isRegistered && account.entries.size === 0) this.endpoints.delete(account.id);
  }
}

/** Returns whether `count` tasks of `size` fit the limit of a team that runs nothing else. */
export function fitsLimit(limit: Team['limit'], size: Resources, count: number): boolean {
  if (limit.tasks !== undefined && count > limit.tasks) return false;
  const total = multiplyResources(size, count);
  return RESOURCE_NAMES.every((name) => total[name] <= (limit[name] ?? Infinity));
}
