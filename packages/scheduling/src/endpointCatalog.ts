import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { resolveWorks } from '@lagoongap/model/endpointRules.js';
import { maxResources, NO_RESOURCES, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import { BlockedSizes } from './blockedSizes.js';
import { EndpointPool } from './endpointPool.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { EndpointAccount, PlacementLedger } from './placementLedger.js';
import { accumulate, sizeKey } from './resourceMath.js';
import type { EndpointView } from './scheduler.js';

const NO_POOLS: readonly EndpointPool[] = [];

/**
 * Index of the endpoints by kind of work and free capacity. Endpoints of one data centre and
 * kind that take the same kinds of work and all have, or all lack, accelerators share a pool,
 * so that each change updates one tree.
 */
export class EndpointCatalog {
  private readonly records = new Map<string, EndpointRecord>();
  private readonly pools = new Map<string, EndpointPool>();
  private readonly poolsByWork = new Map<string, EndpointPool[]>();
  /** Kinds of work that some endpoint has offered and been granted at any time. */
  private readonly seenWorks = new Set<string>();
  /** Sizes that currently fit on no endpoint. */
  readonly blockedSizes = new BlockedSizes();
  private config = createEmptyConfig();
  private serializedRules = '{}';
  /** Sum of the announced sizes of all registered endpoints. */
  readonly total: Resources = { ...NO_RESOURCES };
  /** Increases whenever capacity becomes free on any endpoint. */
  freedVersion = 0;
  /** Increases whenever endpoints, sizes or granted kinds of work change. */
  fleetVersion = 0;

  constructor(private readonly ledger: PlacementLedger) {}

  find(endpointId: string): EndpointRecord | undefined {
    return this.records.get(endpointId);
  }

  /** Returns all registered endpoints, in any state. */
  list(): Iterable<EndpointRecord> {
    return this.records.values();
  }

  /** Returns the pools of the endpoints that currently accept this kind of work. */
  listPools(work: string): readonly EndpointPool[] {
    return this.poolsByWork.get(work) ?? NO_POOLS;
  }

  /** Returns whether some endpoint has ever offered and been granted this kind of work. */
  hasSeen(work: string): boolean {
    return this.seenWorks.has(work);
  }

  /** Returns whether some endpoint rule grants this kind of work. */
  isGranted(work: string): boolean {
    return Object.values(this.config.endpointRules).some((rule) => rule.works.includes(work));
  }

  /** Returns a version that changes whenever capacity for this kind of work becomes free. */
  getFreedVersion(work: string): number {
    let version = 0;
    for (const pool of this.listPools(work)) version = Math.max(version, pool.freedVersion);
    return version;
  }

  upsert(view: EndpointView): void {
    const earlier = this.records.get(view.id);
    if (earlier) accumulate(this.total, earlier.view.size, -1);
    accumulate(this.total, view.size, 1);
    const record: EndpointRecord = earlier ?? {
      view,
      largestSize: view.size,
      works: new Set(),
      available: { ...NO_RESOURCES },
      held: { ...NO_RESOURCES },
      failureRate: 0,
      pool: undefined,
      position: 0,
    };
    if (earlier?.view.ejected && !view.ejected) record.failureRate /= 2;
    const before = record.works;
    this.records.set(view.id, record);
    record.works = resolveWorks(this.config, view);
    for (const work of record.works) this.seenWorks.add(work);
    const isUnchanged =
      earlier !== undefined &&
      sizeKey(earlier.view.size) === sizeKey(view.size) &&
      before.size === record.works.size &&
      [...before].every((work) => record.works.has(work));
    if (!isUnchanged) this.fleetVersion += 1;
    record.view = view;
    record.largestSize = maxResources(record.largestSize, view.size);
    this.ledger.setCapacity(view.id, view.size);
    this.assignPool(record);
  }

  remove(endpointId: string): void {
    const record = this.records.get(endpointId);
    if (!record) return;
    accumulate(this.total, record.view.size, -1);
    this.records.delete(endpointId);
    this.removeFromPool(record);
    this.fleetVersion += 1;
    this.ledger.removeCapacity(endpointId);
  }

  /** Applies a configuration and resolves granted work again if the endpoint rules changed. */
  configure(config: ClusterConfig): void {
    this.config = config;
    const serializedRules = JSON.stringify(config.endpointRules);
    if (serializedRules === this.serializedRules) return;
    this.serializedRules = serializedRules;
    this.fleetVersion += 1;
    for (const record of this.records.values()) {
      record.works = resolveWorks(config, record.view);
      for (const work of record.works) this.seenWorks.add(work);
      this.assignPool(record);
    }
  }

  /** Updates the available capacity of an endpoint; must be called after each ledger change. */
  updateAvailable(account: EndpointAccount): void {
    const record = this.records.get(account.id);
    if (!record) return;
    const before = record.available;
    const free = subtractResources(account.capacity, account.reserved);
    accumulate(free, record.held, -1);
    record.available = free;
    if (!record.pool) return;
    record.pool.updateAvailable(record);
    const hasGrown =
      free.cpuMillis > before.cpuMillis ||
      free.memoryMib > before.memoryMib ||
      free.accelerators > before.accelerators ||
      free.slots > before.slots;
    if (hasGrown) this.markFreed(record.pool, free);
  }

  /** Makes the next scheduling cycle re-evaluate all waiting work, after limits have changed. */
  recheckAllWaiting(): void {
    for (const pool of this.pools.values()) this.markFreed(pool);
    this.blockedSizes.clear();
  }

  /** Adjusts the capacity of an endpoint that is held for waiting work. */
  adjustHeld(record: EndpointRecord, size: Resources, factor: 1 | -1): void {
    accumulate(record.held, size, factor);
    const account = this.ledger.findEndpoint(record.view.id);
    if (account) this.updateAvailable(account);
  }

  private markFreed(pool: EndpointPool, available?: Resources): void {
    this.freedVersion += 1;
    pool.freedVersion = this.freedVersion;
    if (available) this.blockedSizes.unblockFitting(pool.works, available);
  }

  private assignPool(record: EndpointRecord): void {
    const { view, works } = record;
    const acceptsWork = view.state === 'ready' && !view.ejected && works.size > 0;
    const hasAccelerators = view.size.accelerators > 0;
    const key = acceptsWork
      ? JSON.stringify([[...works].sort(), view.kind, view.dataCentre, hasAccelerators])
      : undefined;
    if (record.pool?.key === key) return;
    this.removeFromPool(record);
    if (key === undefined) return;
    let pool = this.pools.get(key);
    if (!pool) {
      pool = new EndpointPool(key, works, view.dataCentre, hasAccelerators);
      this.addPool(pool);
    }
    pool.add(record);
    this.markFreed(pool, record.available);
  }

  private addPool(pool: EndpointPool): void {
    this.pools.set(pool.key, pool);
    for (const work of pool.works) {
      this.poolsByWork.set(work, [...this.listPools(work), pool]);
    }
  }

  private removeFromPool(record: EndpointRecord): void {
    const { pool } = record;
    if (!pool) return;
    pool.remove(record);
    if (pool.records.length > 0) return;
    this.pools.delete(pool.key);
    for (const work of pool.works) {
      const rest = this.listPools(work).filter((other) => other !== pool);
      if (rest.length > 0) this.poolsByWork.set(work, rest);
      else this.poolsByWork.delete(work);
    }
  }
}
