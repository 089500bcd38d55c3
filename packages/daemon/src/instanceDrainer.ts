import { toError } from '@lagoongap/model/toError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';

import { DaemonError } from './daemonError.js';

/** Options of {@link InstanceDrainer}. */
export interface InstanceDrainerOptions {
  network: PeerNetwork;
  /** Instances that keep a connection to every other one. */
  replicaInstances: string[];
  /** Returns whether this instance keeps a connection to another one. */
  isDialled: (instance: string) => boolean;
  /** Starts the graceful shutdown of this instance. */
  onDrain: () => void;
}

interface DrainParams {
  /** Instance to drain; defaults to the receiver. */
  instance?: string;
}

const DRAIN_METHOD = 'instances.drain';
const CALL_TIMEOUT_MS = 5000;

/**
 * Forwards an operator's drain request to the instance that it names. Gateways without a disk keep
 * no connections to each other, so the request goes through a replica.
 */
export class InstanceDrainer {
  private readonly opts: InstanceDrainerOptions;

  constructor(opts: InstanceDrainerOptions) {
    this.opts = opts;
    opts.network.handle(DRAIN_METHOD, (params) => this.handleDrain(params as DrainParams));
  }

  /** Rejects with DaemonError if the instance cannot be reached. */
  async drain(instance: string): Promise<void> {
    const { network, replicaInstances, isDialled } = this.opts;
    if (instance === network.selfId || isDialled(instance)) {
      await this.sendDrain(instance, instance);
      return;
    }
    let cause: Error | undefined;
    for (const replica of replicaInstances) {
      try {
        await this.sendDrain(replica, instance);
        return;
      } catch (err) {
        cause = toError(err);
      }
    }
    throw new DaemonError(`no replica could forward the drain request to ${instance}`, { cause });
  }

  private async handleDrain({ instance }: DrainParams): Promise<void> {
    const { network, onDrain } = this.opts;
    if (instance === undefined || instance === network.selfId) onDrain();
    else await this.sendDrain(instance, instance);
  }

  private async sendDrain(to: string, instance: string): Promise<void> {
    const params: DrainParams = { instance };
    await this.opts.network.call(to, DRAIN_METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
  }
}
