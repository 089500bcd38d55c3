import type { IncomingMessage, ServerResponse } from 'node:http';

import { MemoryLogStore } from '@lagoongap/consensus/memoryLogStore.js';
import { RaftReplica } from '@lagoongap/consensus/raftReplica.js';
import { Coordinator } from '@lagoongap/coordinator/coordinator.js';
import { ReplicaJoiner } from '@lagoongap/daemon/replicaJoiner.js';
import { PeerRaftTransport } from '@lagoongap/daemon/peerRaftTransport.js';
import { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { ReleaseQueue } from '@lagoongap/gateway/releaseQueue.js';
import { RequestRelay } from '@lagoongap/gateway/requestRelay.js';
import { ValidityPoller } from '@lagoongap/gateway/validityPoller.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';
import { Metrics } from '@lagoongap/telemetry/metrics.js';
import type { LogStore } from '@lagoongap/storage/logStore.js';

import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';
import type { FakeEndpoint } from './fakeEndpoint.js';
import { FakeEndpointClient } from './fakeEndpointClient.js';
import { FakeNetwork } from './fakeNetwork.js';
import { FakeResponse } from './fakeResponse.js';
import type { FakeTransport } from './fakeTransport.js';
import type { StepHooks } from './stepHooks.js';

/** Options of {@link TestInstance}. */
export interface TestInstanceOptions {
  id: string;
  bootId: string;
  instanceIds: string[];
  replicaIds: string[];
  transport: FakeTransport;
  hooks: StepHooks;
  endpoints: Map<string, FakeEndpoint>;
  isEndpointUnreachable: (endpointId: string) => boolean;
  /** Log store of a replica; undefined on instances without a disk. */
  store?: LogStore;
  isBootstrap: boolean;
  snapshotEntries: number;
  createScheduler: () => Scheduler;
  random: () => number;
}

/** Parameters of a test request. */
export interface TestRequest {
  marker: string;
  keyId: string;
  noRepeat: boolean;
  deadlineMs: number;
  sleepMs?: number;
}

const TIMING = {
  heartbeatMs: 100,
  electionMinMs: 600,
  electionMaxMs: 1200,
  leaderValidityMs: 500,
  gatewayValidityMs: 2000,
  endpointHeartbeatMs: 1500,
  endpointLeaseMs: 6000,
};
const VALIDITY_POLL_MS = 500;
const MAX_ATTEMPTS = 3;

/** In-memory instance: the components of a daemon without sockets and files. */
export class TestInstance {
  readonly id: string;
  readonly validity: ValidityPoller;
  readonly leader: LeaderClient;
  readonly state = new ClusterState();
  readonly metrics = new Metrics({ processMetrics: false });
  replica: RaftReplica | undefined;
  isStopped = false;
  private readonly opts: TestInstanceOptions;
  private readonly network: FakeNetwork;
  private readonly endpointClient: FakeEndpointClient;
  private readonly releases: ReleaseQueue;
  private coordinator: Coordinator | undefined;
  private joiner: ReplicaJoiner | undefined;

  constructor(opts: TestInstanceOptions) {
    this.opts = opts;
    this.id = opts.id;
    this.network = new FakeNetwork(opts.id, opts.transport);
    this.endpointClient = new FakeEndpointClient({
      instance: opts.id,
      endpoints: opts.endpoints,
      hooks: opts.hooks,
      isUnreachable: opts.isEndpointUnreachable,
    });
    this.leader = new LeaderClient({
      network: this.network,
      replicaInstances: opts.replicaIds,
      readLeaderHint: () => this.replica?.leaderId,
    });
    this.validity = new ValidityPoller({
      instanceId: opts.id,
      bootId: opts.bootId,
      leader: this.leader,
      pollMs: VALIDITY_POLL_MS,
      validityMs: TIMING.gatewayValidityMs,
      log: SILENT_LOG,
    });
    this.releases = new ReleaseQueue({
      owner: `${opts.id}:${opts.bootId}`,
      leader: this.leader,
      log: SILENT_LOG,
    });
  }

  async start(): Promise<void> {
    await this.network.start();
    this.validity.start();
    if (this.opts.store) this.startReplica(this.opts.store);
  }

  /** Relays a request as the gateway does, and returns its outcome for the caller. */
  async request(test: TestRequest): Promise<CallRecord> {
    const sent = JSON.stringify({ marker: test.marker, sleepMs: test.sleepMs });
    const base = {
      marker: test.marker,
      instance: this.id,
      noRepeat: test.noRepeat,
      sent,
      startedAtMs: performance.now(),
    };
    const res = new FakeResponse();
    try {
      this.opts.hooks.reportStep('accept', { instance: this.id });
      this.validity.assertValid();
      this.opts.hooks.reportStep('authenticate', { instance: this.id });
      if (!this.validity.config.keys[test.keyId]) {
        throw new RefusalError({ type: 'unauthenticated', runState: 'not-run', message: 'key' });
      }
      await this.relay(test, sent, res);
    } catch (err) {
      const endedAtMs = performance.now();
      if (this.isStopped || !(err instanceof RefusalError)) {
        return { ...base, outcome: 'connection-lost', endedAtMs };
      }
      return { ...base, outcome: 'refused', refusal: err.refusal, endedAtMs };
    }
    const endedAtMs = performance.now();
    if (this.isStopped || res.destroyed !== res.writableFinished) {
      return { ...base, outcome: 'connection-lost', endedAtMs };
    }
    this.opts.hooks.reportStep('acknowledge', { instance: this.id });
    return { ...base, outcome: 'answered', status: res.status, body: res.body, endedAtMs };
  }

  /** Calls the leader as the gateway of this instance does. */
  call<Result>(method: string, params: unknown, deadlineMs = 15_000): Promise<Result> {
    if (this.isStopped) return Promise.reject(new Error(`instance ${this.id} is stopped`));
    return this.leader.call<Result>(method, params, { deadlineMs });
  }

  /** Transfers leadership and stops, as a graceful shutdown does at its end. */
  async drain(): Promise<void> {
    this.opts.hooks.reportStep('drain', { instance: this.id });
    if (this.replica?.role === 'leader') await this.replica.transferLeadership().catch(() => {});
    await this.kill();
  }

  /** Stops immediately; operations in progress have no further effect. */
  async kill(): Promise<void> {
    this.isStopped = true;
    await this.network[Symbol.asyncDispose]();
    await this.endpointClient[Symbol.asyncDispose]();
    await this.validity[Symbol.asyncDispose]();
    await this.joiner?.[Symbol.asyncDispose]();
    await this.coordinator?.[Symbol.asyncDispose]();
    await this.replica?.[Symbol.asyncDispose]();
  }

  private async relay(test: TestRequest, sent: string, res: FakeResponse): Promise<void> {
    const services = {
      owner: `${this.id}:${this.opts.bootId}`,
      leader: this.leader,
      releases: this.releases,
      endpointClient: this.endpointClient,
      validity: this.validity,
      maxAttempts: MAX_ATTEMPTS,
      tryRetry: () => true,
      log: SILENT_LOG,
    };
    const { noRepeat, deadlineMs, keyId } = test;
    const request = {
      headers: {
        queue: 'certificates',
        work: 'metering',
        noRepeat,
        deadlineMs,
        size: { ...NO_RESOURCES, slots: 1 },
      },
      forwarded: {},
      body: { content: Buffer.from(sent), isReplayable: true },
      keyId,
    };
    const relay = new RequestRelay(
      services,
      request,
      {} as IncomingMessage,
      res as unknown as ServerResponse,
    );
    await relay.run();
  }

  private startReplica(store: LogStore): void {
    const { opts } = this;
    const replica = new RaftReplica({
      instanceId: opts.id,
      bootstrapVoters: opts.isBootstrap ? opts.replicaIds : undefined,
      store,
      transport: new PeerRaftTransport(this.network),
      stateMachine: this.state,
      timing: TIMING,
      snapshotEntries: opts.snapshotEntries,
      random: opts.random,
      onFatal: () => {
        this.kill().catch(() => {});
      },
    });
    this.replica = replica;
    this.coordinator = new Coordinator({
      instanceId: opts.id,
      instances: opts.instanceIds.map((id) => ({ id, dataCentre: 'dc-1' })),
      log: replica,
      state: this.state,
      createScheduler: opts.createScheduler,
      createHealth: () => new EjectingHealthPolicy({ random: opts.random }),
      metrics: this.metrics,
      endpointClient: this.endpointClient,
      timing: TIMING,
      maxBatch: 512,
      logger: SILENT_LOG,
      isReachable: (id) => this.network.isAlive(id),
      network: this.network,
      replicaInstances: opts.replicaIds,
    });
    replica.start().then(
      () => {
        if (this.isStopped) return;
        this.joiner = new ReplicaJoiner({
          instanceId: opts.id,
          replicaId: replica.replicaId!,
          log: replica,
          leader: this.leader,
          logger: SILENT_LOG,
        });
        this.joiner.start();
      },
      () => {},
    );
  }
}

/** Creates an empty log store that reports each write as the step `commit`. */
export function createTestStore(id: string, hooks: StepHooks): MemoryLogStore {
  return new MemoryLogStore({
    beforeWrite: (operation) => {
      if (operation === 'write') hooks.reportStep('commit', { instance: id });
    },
  });
}
