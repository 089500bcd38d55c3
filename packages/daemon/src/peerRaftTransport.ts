import type { RaftTransport } from '@lagoongap/consensus/raftTransport.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';

const METHOD = 'raft.message';

/** Carries messages of the replicated log as JSON-RPC notifications. */
export class PeerRaftTransport implements RaftTransport {
  private readonly network: PeerNetwork;
  private readonly handlers = new Set<(message: unknown) => void>();

  constructor(network: PeerNetwork) {
    this.network = network;
    network.handle(METHOD, (message) => {
      for (const handler of this.handlers) handler(message);
    });
  }

  send(toInstanceId: string, message: unknown): void {
    this.network.notify(toInstanceId, METHOD, message);
  }

  onMessage(handler: (message: unknown) => void): () => void {
    this.handlers.add(handler);
    return () => this.handlers.delete(handler);
  }
}
