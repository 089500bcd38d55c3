import { MemoryLogStore } from '@lagoongap/consensus/memoryLogStore.js';
import { RaftReplica } from '@lagoongap/consensus/raftReplica.js';
import type { RaftTiming } from '@lagoongap/consensus/raftTiming.js';
import { PeerRaftTransport } from '@lagoongap/daemon/peerRaftTransport.js';
import { replicaInstanceId, WORKFLOW_PEERING } from '@lagoongap/daemon/workflowPeers.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { TcpPeerNetwork } from '@lagoongap/peering/tcpPeerNetwork.js';

import { findFreePort } from '../harness/findFreePort.js';
import { waitFor } from '../peering/waitFor.js';
import { CommandList } from './commandList.js';

const HOST = '127.0.0.1';

const TIMING: RaftTiming = {
  heartbeatMs: 60,
  electionMinMs: 350,
  electionMaxMs: 700,
  leaderValidityMs: 280,
};

const ELECTION_TIMEOUT_MS = 10_000;

/** Replicas in this process that exchange messages over TCP on the real clock. */
export class TcpReplicaCluster implements AsyncDisposable {
  private readonly replicas: RaftReplica[] = [];
  private readonly networks: TcpPeerNetwork[] = [];

  async start(count: number): Promise<void> {
    const ids: string[] = [];
    for (let i = 0; i < count; i += 1) ids.push(replicaInstanceId(HOST, await findFreePort()));
    for (const id of ids) await this.startReplica(id, ids);
    const hasLeader = (): boolean => this.leader !== undefined;
    await waitFor('a leader is valid', hasLeader, ELECTION_TIMEOUT_MS);
  }

  /** The valid leader, if there is one. */
  get leader(): RaftReplica | undefined {
    return this.replicas.find((replica) => replica.isLeaderValid());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const replica of this.replicas) await replica[Symbol.asyncDispose]();
    for (const network of this.networks) await network[Symbol.asyncDispose]();
  }

  private async startReplica(id: string, ids: string[]): Promise<void> {
    const network = new TcpPeerNetwork({
      selfId: id,
      listen: { host: HOST, port: Number(id.slice(id.lastIndexOf(':') + 1)) },
      peers: [],
      ...WORKFLOW_PEERING,
      logger: SILENT_LOG,
    });
    await network.start();
    for (const other of ids) network.connect(other);
    this.networks.push(network);
    const replica = new RaftReplica({
      instanceId: id,
      bootstrapVoters: ids,
      store: new MemoryLogStore(),
      transport: new PeerRaftTransport(network),
      stateMachine: new CommandList(),
      timing: TIMING,
      onFatal: (err) => {
        throw err;
      },
    });
    this.replicas.push(replica);
    replica.start().catch(() => undefined);
  }
}
