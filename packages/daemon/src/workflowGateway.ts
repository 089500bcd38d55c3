import { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import type { Log } from '@lagoongap/model/log.js';
import { TcpPeerNetwork } from '@lagoongap/peering/tcpPeerNetwork.js';
import { LeaderAbsence } from '@lagoongap/telemetry/leaderAbsence.js';
import {
  NOOP_METRICS_RECORDER,
  type WorkflowMetricsRecorder,
} from '@lagoongap/telemetry/workflowMetricsRecorder.js';

import { AdvisorLoop, type Advisor } from './advisorLoop.js';
import { JobCallForwarder } from './jobCallForwarder.js';
import { MemberList } from './memberList.js';
import { gatewayInstanceId, WORKFLOW_PEERING } from './workflowPeers.js';

/** Options of a {@link WorkflowGateway}. */
export interface WorkflowGatewayOptions {
  host: string;
  peerPort: number;
  /** Ids of the replica instances to contact first. */
  seeds: string[];
  /** Maximum number of connections that other instances have established. */
  maxPeerConnections?: number;
  advisor: Advisor;
  log: Log;
  meter?: WorkflowMetricsRecorder;
}

/** Time without a response of the leader after which this instance reports itself as not ready. */
const LEADER_CONTACT_TIMEOUT_MS = 3000;

/** Runs an instance without a disk that forwards the calls of callers to the leader. */
export class WorkflowGateway implements AsyncDisposable {
  readonly members: MemberList;
  /** Forwards the calls of callers. */
  readonly jobs: JobCallForwarder;
  private readonly opts: WorkflowGatewayOptions;
  private readonly network: TcpPeerNetwork;
  private readonly leader: LeaderClient;
  private readonly advisorLoop: AdvisorLoop;
  private isDraining = false;

  constructor(opts: WorkflowGatewayOptions) {
    this.opts = opts;
    const { host, peerPort, seeds, advisor, log } = opts;
    this.network = new TcpPeerNetwork({
      selfId: gatewayInstanceId(host),
      listen: { host, port: peerPort },
      peers: [],
      ...WORKFLOW_PEERING,
      maxInboundConnections: opts.maxPeerConnections,
      logger: log,
    });
    this.members = new MemberList(seeds, (id) => this.network.connect(id));
    this.leader = new LeaderClient({
      network: this.network,
      replicaInstances: this.members.instances,
      readLeaderHint: () => undefined,
      absence: new LeaderAbsence({ log, meter: opts.meter ?? NOOP_METRICS_RECORDER }),
    });
    this.jobs = new JobCallForwarder(this.leader, log);
    this.advisorLoop = new AdvisorLoop({ leader: this.leader, advisor, log });
  }

  /** Whether the load balancer should route callers to this instance. */
  get isReady(): boolean {
    return !this.isDraining && this.members.silenceMs < LEADER_CONTACT_TIMEOUT_MS;
  }

  async start(): Promise<void> {
    await this.network.start();
    for (const seed of this.opts.seeds) this.network.connect(seed);
    this.members.startPolling(this.leader, this.opts.log);
    this.advisorLoop.start();
  }

  /** Reports this instance as not ready from now on; calls are still served. */
  beginDrain(): void {
    this.isDraining = true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.advisorLoop[Symbol.dispose]();
    this.members[Symbol.dispose]();
    await this.network[Symbol.asyncDispose]();
  }
}
