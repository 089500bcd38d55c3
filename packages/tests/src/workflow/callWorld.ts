import { JobCallForwarder } from '@lagoongap/daemon/jobCallForwarder.js';
import { LeaderClient, type LeaderCallOptions } from '@lagoongap/gateway/leaderClient.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { toHttpResponse } from '@lagoongap/platform/callerApi.js';
import { ControlApi } from '@lagoongap/platform/controlApi.js';
import { NOOP_METRICS_RECORDER } from '@lagoongap/telemetry/workflowMetricsRecorder.js';
import type { CellConfig } from '@lagoongap/workflow/cellConfig.js';
import { NO_INSTANCE_API } from '@lagoongap/workflow/instanceApi.js';
import type { JobCall } from '@lagoongap/workflow/jobCalls.js';
import type { EndpointHeartbeat } from '@lagoongap/workflow/endpointService.js';
import type { EndpointRecord } from '@lagoongap/workflow/workflowRecords.js';
import { WorkflowCoordinator } from '@lagoongap/workflow/workflowCoordinator.js';
import { WorkflowState } from '@lagoongap/workflow/workflowState.js';
import { DEFAULT_WORKFLOW_TIMING } from '@lagoongap/workflow/workflowTiming.js';
import FakeTimers from '@sinonjs/fake-timers';

import { FakeTransport } from '../harness/fakeTransport.js';
import { StepHooks } from '../harness/stepHooks.js';
import { FakeDriver } from './fakeDriver.js';
import { LeadershipLog } from './leadershipLog.js';
import { RecordingNetwork } from './recordingNetwork.js';
import { createStep } from './workflowWorld.js';

/** Functions replaced by the fake clock; the others are left to the test runner. */
const CLOCK_FUNCTIONS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'performance',
  'Date',
] as const;

const VALIDITY_MS = 280;
const TICK_MS = 2;

const RANDOM = 0.5;

const CONFIG: CellConfig = {
  version: 1,
  queues: [
    {
      name: 'q',
      host: 'h',
      pathPrefix: '/q/',
      pool: 'p',
      priority: 1,
      maxAttempts: 3,
      stretch: 1,
      targetMs: 0,
      isOpen: true,
    },
  ],
  organisations: [],
};

const ENDPOINT: EndpointRecord = {
  id: 'w1',
  address: 'w1:1',
  dataCentre: 'd',
  pool: 'p',
  instance: 'm-w1',
  bornMs: 1,
  capacity: { ...NO_RESOURCES, cpuMillis: 4000, memoryMib: 1000 },
  kind: 'a',
  rack: 'r1',
  labels: [],
  isDraining: false,
};

interface Replica {
  network: RecordingNetwork;
  log: LeadershipLog;
  coordinator: WorkflowCoordinator;
}

/** A call in progress or answered; times are on the fake clock. */
export interface ObservedCall {
  sentMs: number;
  answeredMs?: number;
  /** HTTP status that the caller gets. */
  status?: number;
  error?: Error;
}

/** A gateway and replicas, connected in memory on a paused clock; a test commits and elects. */
export class CallWorld implements AsyncDisposable {
  readonly clock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  readonly transport = new FakeTransport({ hooks: new StepHooks(), random: () => RANDOM });
  readonly gateway = new RecordingNetwork('g', this.transport);
  /** Instances that the gateway has dialled ahead of calls. */
  readonly dialled: string[] = [];
  /** State of all replicas; contains committed entries only. */
  readonly state = new WorkflowState();
  readonly replicaIds: string[];
  /** Record that the next heartbeat reports. */
  endpoint = ENDPOINT;
  private readonly replicas = new Map<string, Replica>();
  client!: LeaderClient;
  private jobs!: JobCallForwarder;
  private control!: ControlApi;
  private configChange: Partial<CellConfig> = {};
  private term = 1;

  constructor(replicaIds: string[]) {
    this.replicaIds = replicaIds;
    this.state.config = { version: 1, document: '1' };
    for (const id of replicaIds) this.replicas.set(id, this.createReplica(id));
    this.forgetLeader();
  }

  /** Replaces the leader client of the gateway by one that knows no leader. */
  forgetLeader(): void {
    this.client = new LeaderClient({
      network: this.gateway,
      replicaInstances: this.replicaIds,
      readLeaderHint: () => undefined,
    });
    this.jobs = new JobCallForwarder(this.client, SILENT_LOG);
    this.control = new ControlApi({ leader: this.client, controlPort: 1, log: SILENT_LOG });
  }

  async start(): Promise<void> {
    await this.gateway.start();
    for (const { network } of this.replicas.values()) await network.start();
  }

  log(id: string): LeadershipLog {
    return this.replicas.get(id)!.log;
  }

  network(id: string): RecordingNetwork {
    return this.replicas.get(id)!.network;
  }

  /** Makes a replica the leader; the others follow it. */
  async elect(id: string): Promise<void> {
    this.term += 1;
    for (const [other, { log }] of this.replicas) {
      if (other !== id) log.setRole('follower', this.term, id);
    }
    this.log(id).setRole('leader', this.term, id);
    await this.advance(TICK_MS);
  }

  /** Ends the leadership of a replica; no successor is known. */
  depose(id: string): void {
    this.term += 1;
    this.log(id).setRole('follower', this.term, undefined);
  }

  submit(id: string, deadlineMs: number): ObservedCall {
    const spec = { payload: id, steps: [createStep({})] };
    return this.call({ host: 'h', path: `/q/${id}`, operation: 'submit', spec }, deadlineMs);
  }

  cancel(id: string, deadlineMs: number): ObservedCall {
    return this.call({ host: 'h', path: `/q/${id}`, operation: 'cancel' }, deadlineMs);
  }

  /** Reads the state of a job; `states` receives it, or undefined if there is none. */
  read(id: string, deadlineMs: number, states: (string | undefined)[]): ObservedCall {
    return this.observe(async () => {
      const target = { host: 'h', path: `/q/${id}`, operation: 'read' as const };
      const res = toHttpResponse(await this.jobs.call(target, deadlineMs));
      states.push((res.body as { state?: string } | undefined)?.state);
      return res.status;
    });
  }

  sendHeartbeat(sequence: number, deadlineMs: number): ObservedCall {
    return this.callWith(this.client, sequence, { deadlineMs });
  }

  /** Sends a heartbeat to a replica, which calls the leader. */
  sendHeartbeatTo(id: string, opts: LeaderCallOptions): ObservedCall {
    const client = new LeaderClient({
      network: this.network(id),
      replicaInstances: this.replicaIds,
      readLeaderHint: () => this.log(id).leaderId,
    });
    return this.callWith(client, 1, opts);
  }

  /** Commits a change of the configuration on all replicas. */
  changeConfig(change: 'closes its queue' | 'removes its queue'): void {
    const [queue] = CONFIG.queues;
    const isClosed = change === 'closes its queue';
    this.configChange = { queues: isClosed ? [{ ...queue!, isOpen: false }] : [] };
    const version = this.state.config!.version + 1;
    this.state.config = { version, document: String(version) };
  }

  /** Sends a configuration of the given version, as an operator does. */
  configure(version: number): ObservedCall {
    return this.callControl('PUT', '/-/config', String(version));
  }

  /** Sends a call of an operator; `documents` receives the body of the response. */
  callControl(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body = '',
    documents: unknown[] = [],
  ): ObservedCall {
    return this.observe(async () => {
      const head = { method, path, headers: {}, receivedMs: performance.now() };
      const res = await this.control.handle({ ...head, body });
      documents.push(res.body);
      return res.status;
    });
  }

  /** Records when a call is answered, and its status or error. */
  observe(action: () => Promise<number>): ObservedCall {
    const call: ObservedCall = { sentMs: performance.now() };
    action()
      .then((status) => {
        call.status = status;
      })
      .catch((err: Error) => {
        call.error = err;
      })
      .finally(() => {
        call.answeredMs = performance.now();
      });
    return call;
  }

  async advance(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.gateway[Symbol.asyncDispose]();
    for (const { network, coordinator } of this.replicas.values()) {
      await network[Symbol.asyncDispose]();
      await coordinator[Symbol.asyncDispose]();
    }
    this.clock.uninstall();
  }

  private callWith(client: LeaderClient, sequence: number, opts: LeaderCallOptions): ObservedCall {
    const params: EndpointHeartbeat = { endpoint: this.endpoint, sequence };
    return this.observe(async () => {
      await client.call('endpoints.heartbeat', params, opts);
      return 200;
    });
  }

  private call(call: JobCall, deadlineMs: number): ObservedCall {
    return this.observe(async () => toHttpResponse(await this.jobs.call(call, deadlineMs)).status);
  }

  private createReplica(id: string): Replica {
    const network = new RecordingNetwork(id, this.transport);
    const log = new LeadershipLog(this.state);
    const coordinator = new WorkflowCoordinator({
      instanceId: id,
      network,
      log,
      state: this.state,
      driver: new FakeDriver(),
      instances: NO_INSTANCE_API,
      holder: id,
      parseConfig: (document) => ({
        ...CONFIG,
        ...this.configChange,
        version: Number(document),
      }),
      timing: DEFAULT_WORKFLOW_TIMING,
      logger: SILENT_LOG,
      meter: NOOP_METRICS_RECORDER,
      validityMs: VALIDITY_MS,
    });
    return { network, log, coordinator };
  }
}
