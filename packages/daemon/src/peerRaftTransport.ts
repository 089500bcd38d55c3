import type { RaftTransport } from '@lagoongap/consensus/raftTransport.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';

const RAFT_METHOD = 'raft.message';

/** Sends and receives Raft messages as JSON-RPC notifications of the peer network. */
export class PeerRaftTransport implements RaftTransport {
  private readonly network: PeerNetwork;
  private readonly handlers = new Set<(message: unknown) => void>();

  constructor(network: PeerNetwork) {
    this.network = network;
    network.handle(RAFT_METHOD, (message) => {
      for (const handler of this.handlers) handler(message);
    });
  }

  send(toInstanceId: string, message: unknown): void {
    this.network.notify(toInstanceId, RAFT_METHOD, message);
  }

  onMessage(handler: (message: unknown) => void): () => void {
    this.handlers.add(handler);
    return () => this.handlers.delete(handler);
  }
}
