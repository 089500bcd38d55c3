import type { Team } from '@lagoongap/model/clusterConfig.js';
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  maxResources,
  subtractResources,
} from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt } from '@lagoongap/model/workload.js';

import { accumulate, ceilResources, fitsBeside, multiplyResources } from './resourceMath.js';
import { SchedulingError } from './schedulingError.js';

/** One reservation: declared, observed and reserved sizes are kept apart. */
export interface LedgerEntry {
  readonly attempt: Attempt;
  /** Reserved now; may differ from the size at placement once usage is observed. */
  reserved: Resources;
  /** Last reported usage; zero before the first report. */
  observed: Resources;
  /** Largest reported usage in each dimension. */
  peak: Resources;
  /** Time of placement; absent for an attempt taken over from an earlier leader. */
  readonly placedAtMs: number | undefined;
  /** Grows with each reservation; the largest is the newest. */
  readonly sequence: number;
}

/** What is reserved and observed on one endpoint. */
export interface EndpointAccount {
  readonly id: string;
  /** Announced size; zero while the endpoint is not known. */
  capacity: Resources;
  readonly reserved: Resources;
  readonly observed: Resources;
  /** Part of the reservation that belongs to services. */
  readonly serviceReserved: Resources;
  readonly entries: Map<string, LedgerEntry>;
  known: boolean;
}

/** What is reserved by one team. */
export interface TeamAccount {
  readonly name: string;
  limit: Team['limit'];
  readonly reserved: Resources;
  readonly entries: Map<string, LedgerEntry>;
}

/** Called after the free capacity of an endpoint has changed. */
export type FreeChangeListener = (account: EndpointAccount) => void;

/**
 * Keeps what is reserved on each endpoint and by each team. It is the only
 * place that reserves and frees, and it refuses any new reservation that would
 * overcommit an endpoint or exceed the upper limit of a team.
 *
 * Reservations last until they are freed, also on endpoints that are silent,
 * leaving or removed.
 */
export class PlacementLedger {
  private readonly endpoints = new Map<string, EndpointAccount>();
  private readonly teams = new Map<string, TeamAccount>();
  private readonly entries = new Map<string, LedgerEntry>();
  /** Attempt by task index, by unit. */
  private readonly tasks = new Map<string, Map<number, string>>();
  /** Adopted attempts of a task of which a later attempt was adopted too. */
  private readonly shadowed = new Set<string>();
  private sequence = 0;

  constructor(private readonly onFreeChange: FreeChangeListener = () => {}) {}

  /** Number of reservations. */
  get size(): number {
    return this.entries.size;
  }

  /** Sets the announced size of an endpoint; it may be smaller than what is reserved. */
  setCapacity(endpointId: string, capacity: Resources): void {
    const account = this.openEndpoint(endpointId);
    account.capacity = { ...capacity };
    account.known = true;
    this.onFreeChange(account);
  }

  /** Takes the capacity of an endpoint away; its reservations stay until they are freed. */
  dropCapacity(endpointId: string): void {
    const account = this.endpoints.get(endpointId);
    if (!account) return;
    account.capacity = { ...NO_RESOURCES };
    account.known = false;
    this.onFreeChange(account);
    this.closeIfUnused(account);
  }

  /** Sets the upper limit of a team; absent dimensions are not limited. */
  setLimit(team: string, limit: Team['limit']): void {
    this.openTeam(team).limit = limit;
  }

  /** Returns the account of an endpoint that is known or has reservations. */
  findEndpoint(endpointId: string): EndpointAccount | undefined {
    return this.endpoints.get(endpointId);
  }

  /** Returns the account of a team, which is created on first use. */
  openTeam(team: string): TeamAccount {
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

  /** Tells whether an attempt of this task holds a reservation. */
  isTaskActive(unitId: string, taskIndex: number): boolean {
    return this.tasks.get(unitId)?.has(taskIndex) ?? false;
  }

  /** Tells whether an endpoint has room for `size` in every dimension. */
  fitsEndpoint(endpointId: string, size: Resources): boolean {
    const account = this.endpoints.get(endpointId);
    return (
      account !== undefined && account.known && fitsBeside(size, account.reserved, account.capacity)
    );
  }

  /** Tells whether `count` tasks of `size` keep a team within its upper limit. */
  fitsTeam(team: string, size: Resources, count = 1): boolean {
    const account = this.openTeam(team);
    const { limit, reserved, entries } = account;
    if (limit.tasks !== undefined && entries.size + count > limit.tasks) return false;
    for (const name of RESOURCE_NAMES) {
      const most = limit[name];
      if (most !== undefined && reserved[name] + size[name] * count > most) return false;
    }
    return true;
  }

  /** Tells whether a team has more reserved than its upper limit allows. */
  exceedsLimit(team: string): boolean {
    return !this.fitsTeam(team, NO_RESOURCES, 0);
  }

  /**
   * Reserves the size of a new attempt.
   *
   * @throws SchedulingError if the endpoint or the team has no room, or if an
   * attempt of the same task still holds a reservation.
   */
  reserve(attempt: Attempt, nowMs: number): LedgerEntry {
    if (!this.fitsEndpoint(attempt.endpointId, attempt.size)) {
      throw new SchedulingError(`endpoint ${attempt.endpointId} has no room for ${attempt.id}`);
    }
    if (this.entries.has(attempt.id) || this.isTaskActive(attempt.unitId, attempt.taskIndex)) {
      throw new SchedulingError(`task ${attempt.unitId}#${attempt.taskIndex} is placed already`);
    }
    if (!this.fitsTeam(attempt.team, attempt.size)) {
      throw new SchedulingError(`attempt ${attempt.id} exceeds the limit of team ${attempt.team}`);
    }
    return this.insert(attempt, nowMs);
  }

  /**
   * Takes over the reservation of an attempt that is placed already, also when
   * the endpoint or the team is over its bounds or not known.
   */
  adopt(attempt: Attempt): LedgerEntry {
    const known = this.entries.get(attempt.id);
    if (known) return known;
    const earlier = this.tasks.get(attempt.unitId)?.get(attempt.taskIndex);
    if (earlier !== undefined) this.shadowed.add(earlier);
    return this.insert(attempt, undefined);
  }

  /**
   * Records reported usage; a reservation below it grows, also beyond the size
   * of the endpoint, which then takes no new work.
   */
  observe(attemptId: string, usage: Resources): LedgerEntry | undefined {
    const entry = this.entries.get(attemptId);
    if (!entry) return undefined;
    const account = this.endpoints.get(entry.attempt.endpointId)!;
    // Whole numbers keep sums exact over millions of reservations.
    const rounded = ceilResources(usage);
    accumulate(account.observed, entry.observed, -1);
    accumulate(account.observed, rounded, 1);
    entry.observed = rounded;
    entry.peak = maxResources(entry.peak, rounded);
    this.resize(entry, maxResources(entry.reserved, rounded));
    return entry;
  }

  /** Lowers a reservation to `size`, but never below what is observed. */
  shrink(attemptId: string, size: Resources): void {
    const entry = this.entries.get(attemptId);
    if (entry) this.resize(entry, maxResources(size, entry.observed));
  }

  /** Frees what an attempt has reserved. */
  free(attemptId: string): LedgerEntry | undefined {
    const entry = this.entries.get(attemptId);
    if (!entry) return undefined;
    const { attempt } = entry;
    this.entries.delete(attemptId);
    this.forgetTask(attempt);
    const account = this.endpoints.get(attempt.endpointId)!;
    account.entries.delete(attemptId);
    accumulate(account.observed, entry.observed, -1);
    const team = this.openTeam(attempt.team);
    team.entries.delete(attemptId);
    this.charge(entry, entry.reserved, -1);
    this.closeIfUnused(account);
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
    this.openEndpoint(attempt.endpointId).entries.set(attempt.id, entry);
    this.openTeam(attempt.team).entries.set(attempt.id, entry);
    this.charge(entry, entry.reserved, 1);
    return entry;
  }

  private resize(entry: LedgerEntry, size: Resources): void {
    if (RESOURCE_NAMES.every((name) => entry.reserved[name] === size[name])) return;
    const change = subtractResources(size, entry.reserved);
    entry.reserved = size;
    this.charge(entry, change, 1);
  }

  private charge(entry: LedgerEntry, size: Resources, factor: 1 | -1): void {
    const account = this.openEndpoint(entry.attempt.endpointId);
    accumulate(account.reserved, size, factor);
    if (entry.attempt.kind === 'service') accumulate(account.serviceReserved, size, factor);
    accumulate(this.openTeam(entry.attempt.team).reserved, size, factor);
    this.onFreeChange(account);
  }

  private forgetTask(attempt: Attempt): void {
    if (this.shadowed.delete(attempt.id)) return;
    const tasks = this.tasks.get(attempt.unitId);
    tasks?.delete(attempt.taskIndex);
    const earlier = [...this.shadowed]
      .map((id) => this.entries.get(id)!.attempt)
      .find(
        ({ unitId, taskIndex }) => unitId === attempt.unitId && taskIndex === attempt.taskIndex,
      );
    if (earlier) {
      this.shadowed.delete(earlier.id);
      tasks?.set(earlier.taskIndex, earlier.id);
    }
    if (tasks?.size === 0) this.tasks.delete(attempt.unitId);
  }

  private openEndpoint(id: string): EndpointAccount {
    let account = this.endpoints.get(id);
    if (!account) {
      account = {
        id,
        capacity: { ...NO_RESOURCES },
        reserved: { ...NO_RESOURCES },
        observed: { ...NO_RESOURCES },
        serviceReserved: { ...NO_RESOURCES },
        entries: new Map(),
        known: false,
      };
      this.endpoints.set(id, account);
    }
    return account;
  }

  private closeIfUnused(account: EndpointAccount): void {
    if (!account.known && account.entries.size === 0) this.endpoints.delete(account.id);
  }
}

/** Tells whether `count` tasks of `size` could fit a team's limit if it ran nothing else. */
export function fitsLimit(limit: Team['limit'], size: Resources, count: number): boolean {
  if (limit.tasks !== undefined && count > limit.tasks) return false;
  const total = multiplyResources(size, count);
  return RESOURCE_NAMES.every((name) => total[name] <= (limit[name] ?? Infinity));
}
