import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';
import type { MemoryLogStore } from '@lagoongap/consensus/memoryLogStore.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { encodeReleaseNote } from '@lagoongap/release-notes/encodeReleaseNote.js';

import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';
import { FakeEndpoint } from './fakeEndpoint.js';
import { FakeWire } from './fakeWire.js';
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
/** Slots of each runner; small, so that limits and queues matter. */
const RUNNER_SLOTS = 4;
/** Key that no secret hashes to; calls in memory name keys by their identifier. */
const UNUSED_HASH = 'a'.repeat(64);

/** Upper limits of the teams in the first release note. */
export const TEAM_LIMITS: Record<string, number> = { laboratories: 6, utilities: 5 };

/** A cell in memory on the runtime's clock, which must be paused. */
export class TestCell {
  readonly hooks = new StepHooks();
  readonly random: () => number;
  readonly wire: FakeWire;
  readonly instances = new Map<string, TestInstance>();
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly events: HistoryEvent[] = [];
  readonly calls: CallRecord[] = [];
  /** Notes for which an operator got the answer that they were accepted. */
  readonly acceptedNotes: { number: number; team: string }[] = [];
  /** Violations that were seen while the cell ran. */
  readonly violations: string[] = [];
  readonly instanceIds: string[];
  readonly replicaIds: string[];
  private readonly opts: TestCellOptions;
  private readonly stores = new Map<string, MemoryLogStore>();
  private readonly cutEndpoints = new Set<string>();
  private boots = 0;

  constructor(opts: TestCellOptions) {
    this.opts = opts;
    this.random = createSeededRandom(opts.seed);
    this.wire = new FakeWire({ hooks: this.hooks, random: this.random });
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
    this.boots += 1;
    const instance = new TestInstance({
      id,
      bootId: `boot${this.boots}`,
      instanceIds: this.instanceIds,
      replicaIds: this.replicaIds,
      wire: this.wire,
      hooks: this.hooks,
      endpoints: this.endpoints,
      isEndpointCut: (endpointId) =>
        this.cutEndpoints.has(`${id}>${endpointId}`) ||
        this.endpoints.get(`http://${endpointId}`)!.isCutOff,
      store: this.stores.get(id),
      isBootstrap,
      snapshotEntries: this.opts.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES,
      createScheduler: () => createProbedScheduler(this.opts.createScheduler, id, this.hooks),
      random: this.random,
    });
    this.instances.set(id, instance);
    await instance.start();
  }

  /** Replaces the disk of an instance that does not run by an empty one. */
  eraseDisk(id: string): void {
    if (this.stores.has(id)) this.stores.set(id, createTestStore(id, this.hooks));
  }

  /** Cuts an instance off from the others and from all endpoints. */
  isolate(id: string, direction: 'both' | 'outgoing'): void {
    this.wire.isolate(id, this.instanceIds, direction);
    for (const { announcement } of this.endpoints.values()) {
      this.cutEndpoints.add(`${id}>${announcement.id}`);
    }
  }

  heal(): void {
    this.wire.heal();
    this.cutEndpoints.clear();
    for (const endpoint of this.endpoints.values()) endpoint.isCutOff = false;
  }

  /** Returns the instance that leads validly, if there is one. */
  findLeader(): TestInstance | undefined {
    return this.living().find((instance) => instance.replica?.isLeaderValid());
  }

  living(): TestInstance[] {
    return [...this.instances.values()].filter((instance) => !instance.isDead);
  }

  /** Sends a request through an instance and records what its caller saw. */
  async request(instanceId: string, test: TestRequest): Promise<CallRecord> {
    const record = await this.instances.get(instanceId)!.request(test);
    this.calls.push(record);
    return record;
  }

  /** Calls the leader through a living instance; another one is tried after a failure. */
  async call<Result>(method: string, params: unknown, deadlineMs?: number): Promise<Result> {
    const living = this.living();
    const instance = living[Math.floor(this.random() * living.length)]!;
    return instance.call<Result>(method, params, deadlineMs);
  }

  /** Applies a release note through one instance. */
  applyNote(instanceId: string, note: ReleaseNote): Promise<unknown> {
    const params = { text: encodeReleaseNote(note), by: 'operator-1', checkOnly: false };
    return this.instances.get(instanceId)!.call('notes.apply', params);
  }

  async close(): Promise<void> {
    for (const endpoint of this.endpoints.values()) endpoint.close();
    for (const instance of this.living()) await instance.kill();
  }

  /** Loses everything between an instance and an endpoint. */
  cutEndpoint(instanceId: string, endpointId: string): void {
    this.cutEndpoints.add(`${instanceId}>${endpointId}`);
  }

  /** Stops an endpoint and all that it runs. */
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
        this.checkTeamLimits();
      },
      report: (violation) => this.violations.push(violation),
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
  const key = { hash: UNUSED_HASH, role: 'caller' as const };
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
