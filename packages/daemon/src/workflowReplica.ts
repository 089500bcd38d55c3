import { RaftReplica } from '@lagoongap/consensus/raftReplica.js';
import type { RaftTiming } from '@lagoongap/consensus/raftTiming.js';
import { instanceIdOf } from '@lagoongap/consensus/replicaId.js';
import { ReplicaManager } from '@lagoongap/coordinator/replicaManager.js';
import { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { delay } from '@lagoongap/model/delay.js';
import type { Log } from '@lagoongap/model/log.js';
import type { JoinReplicaParams } from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { TcpPeerNetwork } from '@lagoongap/peering/tcpPeerNetwork.js';
import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import { NodeFileSystem } from '@lagoongap/storage/nodeFileSystem.js';
import { LeaderAbsence } from '@lagoongap/telemetry/leaderAbsence.js';
import {
  NOOP_METRICS_RECORDER,
  type WorkflowMetricsRecorder,
} from '@lagoongap/telemetry/workflowMetricsRecorder.js';
import type { ConfigParser } from '@lagoongap/workflow/cellConfig.js';
import type { EndpointDriver } from '@lagoongap/workflow/endpointDriver.js';
import { NO_INSTANCE_API, type InstanceApi } from '@lagoongap/workflow/instanceApi.js';
import { WorkflowCoordinator } from '@lagoongap/workflow/workflowCoordinator.js';
import type { CellLimits } from '@lagoongap/workflow/cellLimits.js';
import type { WorkflowFeatures } from '@lagoongap/workflow/workflowFeatures.js';
import { WorkflowState } from '@lagoongap/workflow/workflowState.js';
import type { WorkflowTiming } from '@lagoongap/workflow/workflowTiming.js';

import { MemberList } from './memberList.js';
import { PeerRaftTransport } from './peerRaftTransport.js';
import { ReplicaJoiner } from './replicaJoiner.js';
import { replicaInstanceId, WORKFLOW_PEERING } from './workflowPeers.js';

/** Options of a {@link WorkflowReplica}. */
export interface WorkflowReplicaOptions {
  host: string;
  peerPort: number;
  dataFolder: string;
  /** Whether this start may bootstrap a new cell. */
  bootstrap: boolean;
  /** Ids of the replica instances to contact first. */
  seeds: string[];
  /** Maximum number of connections that other instances have established. */
  maxPeerConnections?: number;
  driver: EndpointDriver;
  instances?: InstanceApi;
  parseConfig: ConfigParser;
  timing: WorkflowTiming;
  /** By default all. */
  features?: WorkflowFeatures;
  /** Limits on the jobs that the cell holds. */
  limits?: CellLimits;
  raftTiming?: RaftTiming;
  /** Start of this process on the monotonic clock, by default the time of `start`. */
  processStartMs?: number;
  log: Log;
  meter?: WorkflowMetricsRecorder;
  /** Called when the durable state is no longer reliable. */
  onFatal: (err: Error) => void;
}

/**
 * Shorter than the defaults, because the network latency between instances is 0.5 ms and every
 * election delays urgent jobs. Election timeouts remain several times as long as a 100 ms pause.
 */
const RAFT_TIMING: RaftTiming = {
  heartbeatMs: 60,
  electionMinMs: 350,
  electionMaxMs: 700,
  leaderValidityMs: 280,
};

/** Number of applied entries between two snapshots. */
const SNAPSHOT_ENTRIES = 4000;

/** Length of applied entries between two snapshots; the state of a full cell is several times that. */
const SNAPSHOT_LENGTH = 16 * 1024 * 1024;

/**
 * Minimum time between two appends of proposals. It is half the sync time of a slow disk, so it
 * adds little to the commit latency, and it limits a leader to 200 replication rounds per second
 * when hundreds of runs end per second.
 */
const PROPOSAL_BATCH_MS = 5;

/** Size of a log segment, chosen so that two segments and two snapshots fit on a small disk. */
const SEGMENT_BYTES = 4 * 1024 * 1024;

/** Time between two checks for voters that have failed permanently. */
const MEMBERSHIP_CHECK_MS = 500;

/** Time for which a stopping replica keeps forwarding calls to the new leader. */
const HANDOVER_DELAY_MS = 1500;

/** Runs an instance that holds a replica of the workflow state and may become leader. */
export class WorkflowReplica implements AsyncDisposable {
  readonly leader: LeaderClient;
  readonly members: MemberList;
  private readonly opts: WorkflowReplicaOptions;
  private readonly instanceId: string;
  private readonly network: TcpPeerNetwork;
  private readonly replica: RaftReplica;
  private readonly store: FileLogStore;
  private readonly coordinator: WorkflowCoordinator;
  private readonly manager: ReplicaManager;
  private membershipTimer: NodeJS.Timeout | undefined;
  private joiner: ReplicaJoiner | undefined;

  constructor(opts: WorkflowReplicaOptions) {
    this.opts = opts;
    const { host, peerPort, log } = opts;
    this.instanceId = replicaInstanceId(host, peerPort);
    this.network = new TcpPeerNetwork({
      selfId: this.instanceId,
      listen: { host, port: peerPort },
      peers: [],
      ...WORKFLOW_PEERING,
      maxInboundConnections: opts.maxPeerConnections,
      logger: log,
    });
    this.members = new MemberList(opts.seeds, (id) => this.network.connect(id));
    this.leader = new LeaderClient({
      network: this.network,
      replicaInstances: this.members.instances,
      readLeaderHint: () => this.replica.leaderId,
      absence: new LeaderAbsence({ log, meter: opts.meter ?? NOOP_METRICS_RECORDER }),
    });
    this.store = new FileLogStore({
      dataFolder: opts.dataFolder,
      segmentBytes: SEGMENT_BYTES,
      fileSystem: new NodeFileSystem({ locksFolders: false }),
    });
    const state = new WorkflowState();
    const timing = opts.raftTiming ?? RAFT_TIMING;
    this.replica = new RaftReplica({
      instanceId: this.instanceId,
      bootstrapVoters: opts.bootstrap ? opts.seeds : undefined,
      store: this.store,
      transport: new PeerRaftTransport(this.network),
      stateMachine: state,
      timing,
      snapshotEntries: SNAPSHOT_ENTRIES,
      snapshotLength: SNAPSHOT_LENGTH,
      batchIntervalMs: PROPOSAL_BATCH_MS,
      processStartMs: opts.processStartMs,
      onFatal: opts.onFatal,
    });
    this.coordinator = new WorkflowCoordinator({
      instanceId: this.instanceId,
      network: this.network,
      log: this.replica,
      state,
      driver: opts.driver,
      instances: opts.instances ?? NO_INSTANCE_API,
      holder: this.instanceId,
      parseConfig: opts.parseConfig,
      timing: opts.timing,
      features: opts.features,
      limits: opts.limits,
      logger: log,
      meter: opts.meter ?? NOOP_METRICS_RECORDER,
      validityMs: timing.leaderValidityMs,
    });
    this.manager = new ReplicaManager({
      log: this.replica,
      logger: log,
      instanceId: this.instanceId,
      isReachable: (instance) => this.network.isAlive(instance),
    });
    this.registerMembershipHandlers();
  }

  /** Whether this replica is the leader. */
  get isLeader(): boolean {
    return this.replica.role === 'leader';
  }

  /** Resolves once the replica participates in the log; the network listens before that. */
  async start(): Promise<void> {
    await this.network.start();
    for (const seed of this.opts.seeds) this.network.connect(seed);
    this.members.startPolling(this.leader, this.opts.log);
    this.replica.onRoleChange(({ role, term, leaderId }) => {
      this.opts.log.notice('replica role', { role, term, leaderId });
    });
    await this.replica.start();
    const { voters, learners } = this.replica.members();
    for (const id of [...voters, ...learners]) this.network.connect(instanceIdOf(id));
    this.joiner = new ReplicaJoiner({
      instanceId: this.instanceId,
      replicaId: this.replica.replicaId ?? '',
      log: this.replica,
      leader: this.leader,
      logger: this.opts.log,
    });
    this.joiner.start();
    this.membershipTimer = setInterval(() => this.removeFailedVoters(), MEMBERSHIP_CHECK_MS);
  }

  /** Transfers leadership, then keeps forwarding calls for {@link HANDOVER_DELAY_MS}. */
  async drain(): Promise<void> {
    if (this.isLeader) {
      await this.replica.transferLeadership().catch((err: Error) => {
        this.opts.log.warn('could not transfer leadership', { err: err.message });
      });
    }
    await delay(HANDOVER_DELAY_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.membershipTimer);
    this.members[Symbol.dispose]();
    await this.joiner?.[Symbol.asyncDispose]();
    await this.coordinator[Symbol.asyncDispose]();
    await this.replica[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
    await this.network[Symbol.asyncDispose]();
  }

  private registerMembershipHandlers(): void {
    this.network.handle('replicas.join', (params) => {
      this.assertLeader();
      return this.manager.join(params as JoinReplicaParams);
    });
    this.network.handle('cell.members', async (_params, _from, endMs) => {
      await this.coordinator.whenLeaderDecided(endMs);
      this.assertLeader();
      const { voters, learners } = this.replica.members();
      return [...voters, ...learners].map(instanceIdOf);
    });
  }

  private removeFailedVoters(): void {
    if (!this.replica.isLeaderValid()) return;
    this.manager.shrinkEvenGroup().catch((err: Error) => {
      this.opts.log.warn('could not remove a failed voter', { err: err.message });
    });
  }

  private assertLeader(): void {
    if (this.replica.isLeaderValid()) return;
    throw new RefusalError({
      type: 'no-leader',
      runState: 'not-run',
      message: `instance ${this.instanceId} is not the leader`,
      details: this.isLeader ? { reason: 'leader-not-valid' } : { leaderId: this.replica.leaderId },
    });
  }
}
