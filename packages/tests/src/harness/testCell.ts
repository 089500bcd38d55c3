import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';
import type { MemoryLogStore } from '@lagoongap/consensus/memoryLogStore.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { encodeReleaseNote } from '@lagoongap/release-notes/encodeReleaseNote.js';

import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';
import { FakeEndpoint } from './fakeEndpoint.js';
import { FakeTransport } from './fakeTransport.js';
import { createProbedScheduler, type SchedulerFactory } from './schedulerProbe.js';
import { StepHooks } from './stepHooks.js';
import { createTestStore, TestInstance, type TestRequest } from './testInstance.js';

/** Options of {@link TestCell}. */
export interface TestCellOptions {
  seed: number;
  replicas: number;
  gateways: number;
  runners: number;
  createScheduler: SchedulerFactory;
  /** Entries after which a replica takes a snapshot. */
  snapshotEntries?: number;
}

const DEFAULT_SNAPSHOT_ENTRIES = 1000;
/** Slots of each runner; few, so that the load reaches upper limits and fills queues. */
const RUNNER_SLOTS = 4;
/** Hash that matches no secret; in-memory calls identify keys by their id instead. */
const PLACEHOLDER_HASH = 'a'.repeat(64);

/** Upper limits of the teams in the first release note. */
export const TEAM_LIMITS: Record<string, number> = { laboratories: 6, utilities: 5 };

/** In-memory cell that runs on the timers of the runtime, which must be faked. */
export class TestCell {
  readonly hooks = new StepHooks();
  readonly random: () => number;
  readonly transport: FakeTransport;
  readonly instances = new Map<string, TestInstance>();
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly events: HistoryEvent[] = [];
  readonly calls: CallRecord[] = [];
  /** Release notes whose acceptance an operator received. */
  readonly acceptedNotes: { number: number; team: string }[] = [];
  /** Called when an endpoint starts an attempt. */
  onStart: (event: HistoryEvent) => void = () => {};
  /** Violations detected while the cell ran. */
  readonly violations: string[] = [];
  readonly instanceIds: string[];
  readonly replicaIds: string[];
  private readonly opts: TestCellOptions;
  private readonly stores = new Map<string, MemoryLogStore>();
  private readonly cutEndpointLinks = new Set<string>();
  private bootCount = 0;

  constructor(opts: TestCellOptions) {
    this.opts = opts;
    this.random = createSeededRandom(opts.seed);
    this.transport = new FakeTransport({ hooks: this.hooks, random: this.random });
    const total = opts.replicas + opts.gateways;
    this.instanceIds = Array.from({ length: total }, (_, i) => `instance-${i + 1}`);
    this.replicaIds = this.instanceIds.slice(0, opts.replicas);
    for (const id of this.replicaIds) this.stores.set(id, createTestStore(id, this.hooks));
  }

  async start(): Promise<void> {
    for (const id of this.instanceIds) await this.startInstance(id, true);
    for (let i = 1; i <= this.opts.runners; i += 1) this.startEndpoint(`runner-${i}`);
  }

  async startInstance(id: string, isBootstrap = false): Promise<void> {
    this.bootCount += 1;
    const instance = new TestInstance({
      id,
      bootId: `boot${this.bootCount}`,
      instanceIds: this.instanceIds,
      replicaIds: this.replicaIds,
      transport: this.transport,
      hooks: this.hooks,
      endpoints: this.endpoints,
      isEndpointUnreachable: (endpointId) =>
        this.cutEndpointLinks.has(`${id}>${endpointId}`) ||
        this.endpoints.get(`http://${endpointId}`)!.isPartitioned,
      store: this.stores.get(id),
      isBootstrap,
      snapshotEntries: this.opts.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES,
      createScheduler: () => createProbedScheduler(this.opts.createScheduler, id, this.hooks),
      random: this.random,
    });
    this.instances.set(id, instance);
    await instance.start();
  }

  /** Replaces the disk of a stopped instance with an empty one. */
  eraseDisk(id: string): void {
    if (this.stores.has(id)) this.stores.set(id, createTestStore(id, this.hooks));
  }

  /** Partitions an instance from the others and from all endpoints. */
  isolate(id: string, direction: 'both' | 'outgoing'): void {
    this.transport.isolate(id, this.instanceIds, direction);
    for (const { announcement } of this.endpoints.values()) {
      this.cutEndpointLinks.add(`${id}>${announcement.id}`);
    }
  }

  heal(): void {
    this.transport.heal();
    this.cutEndpointLinks.clear();
    for (const endpoint of this.endpoints.values()) endpoint.isPartitioned = false;
  }

  /** Returns the instance that has valid leadership, if there is one. */
  findLeader(): TestInstance | undefined {
    return this.listLive().find((instance) => instance.replica?.isLeaderValid());
  }

  listLive(): TestInstance[] {
    return [...this.instances.values()].filter((instance) => !instance.isStopped);
  }

  /** Sends a request through an instance and records its outcome for the caller. */
  async request(instanceId: string, test: TestRequest): Promise<CallRecord> {
    const record = await this.instances.get(instanceId)!.request(test);
    this.calls.push(record);
    return record;
  }

  /** Calls the leader through a random running instance, so that a retry may use another one. */
  async call<Result>(method: string, params: unknown, deadlineMs?: number): Promise<Result> {
    const live = this.listLive();
    const instance = live[Math.floor(this.random() * live.length)]!;
    return instance.call<Result>(method, params, deadlineMs);
  }

  /** Applies a release note through one instance. */
  applyNote(instanceId: string, note: ReleaseNote): Promise<unknown> {
    const params = { text: encodeReleaseNote(note), by: 'operator-1', checkOnly: false };
    return this.instances.get(instanceId)!.call('notes.apply', params);
  }

  async close(): Promise<void> {
    for (const endpoint of this.endpoints.values()) endpoint.close();
    for (const instance of this.listLive()) await instance.kill();
  }

  /** Drops all traffic between an instance and an endpoint. */
  cutEndpointLink(instanceId: string, endpointId: string): void {
    this.cutEndpointLinks.add(`${instanceId}>${endpointId}`);
  }

  /** Stops an endpoint and all attempts that it runs. */
  killEndpoint(id: string): void {
    this.endpoints.get(`http://${id}`)!.close();
  }

  startEndpoint(id: string): void {
    const url = `http://${id}`;
    const endpoint = new FakeEndpoint({
      announcement: {
        id,
        kind: 'runner',
        url,
        size: { ...NO_RESOURCES, cpuMillis: 8000, memoryMib: 8192, slots: RUNNER_SLOTS },
        rack: 'rack-1',
        dataCentre: 'dc-1',
        works: ['metering'],
        speed: 1,
        capabilities: ['checkpoint', 'throttle', 'stop'],
      },
      call: (method, params) => this.call(method, params, 3000),
      record: (event) => {
        this.events.push(event);
        if (event.type === 'start') this.onStart(event);
        this.checkTeamLimits();
      },
      reportViolation: (violation) => this.violations.push(violation),
    });
    this.endpoints.set(url, endpoint);
    endpoint.start();
  }

  private checkTeamLimits(): void {
    const counts = new Map<string, number>();
    for (const endpoint of this.endpoints.values()) {
      for (const [team, count] of endpoint.countByTeam()) {
        counts.set(team, (counts.get(team) ?? 0) + count);
      }
    }
    for (const [team, count] of counts) {
      const limit = TEAM_LIMITS[team] ?? 0;
      if (count > limit) this.violations.push(`team ${team} runs ${count} tasks, limit ${limit}`);
    }
  }
}

/** Returns the first release note of a test cell. */
export function createTestNote(): ReleaseNote {
  const key = { hash: PLACEHOLDER_HASH, role: 'caller' as const };
  const queue = { open: false, works: ['metering'], maxWaiting: 10_000 };
  return {
    number: 1,
    added: {
      teams: [
        { name: 'laboratories', share: 3, limit: { tasks: TEAM_LIMITS.laboratories } },
        { name: 'utilities', share: 1, limit: { tasks: TEAM_LIMITS.utilities } },
      ],
      keys: [
        { id: 'operator-1', hash: 'b'.repeat(64), role: 'operator' },
        { id: 'laboratories-1', team: 'laboratories', ...key },
        { id: 'utilities-1', team: 'utilities', ...key, hash: 'c'.repeat(64) },
      ],
      queues: [
        { name: 'certificates', kind: 'request', priority: 900, ...queue },
        { name: 'indexing', kind: 'service', priority: 100, ...queue },
        { name: 'recomputation', kind: 'batch', priority: 500, ...queue },
        { name: 'bench-runs', kind: 'gang', priority: 500, ...queue },
      ],
      endpointRules: [{ name: 'all', match: {}, works: ['metering'] }],
    },
    changed: { teams: [], keys: [], queues: [], endpointRules: [] },
    withdrawn: { teams: [], keys: [], queues: [], endpointRules: [] },
  };
}
