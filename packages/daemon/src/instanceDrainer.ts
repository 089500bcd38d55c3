import { toError } from '@lagoongap/model/toError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';

import { DaemonError } from './daemonError.js';

/** Options of {@link InstanceDrainer}. */
export interface InstanceDrainerOptions {
  network: PeerNetwork;
  /** Instances that keep a connection to every other one. */
  replicaInstances: string[];
  /** Tells whether this instance keeps a connection to another one. */
  isDialled: (instance: string) => boolean;
  /** Starts the graceful shutdown of this instance. */
  onDrain: () => void;
}

interface DrainParams {
  /** Instance to drain; the receiver if it is absent. */
  instance?: string;
}

const METHOD = 'instances.drain';
const CALL_TIMEOUT_MS = 5000;

/**
 * Carries an operator's order to drain to the instance that it names. Gateways without a disk
 * keep no connection to each other, so a replica passes the order on.
 */
export class InstanceDrainer {
  private readonly opts: InstanceDrainerOptions;

  constructor(opts: InstanceDrainerOptions) {
    this.opts = opts;
    opts.network.handle(METHOD, (params) => this.receive(params as DrainParams));
  }

  /** Rejects with DaemonError if the instance cannot be reached. */
  async drain(instance: string): Promise<void> {
    const { network, replicaInstances, isDialled } = this.opts;
    if (instance === network.selfId || isDialled(instance)) {
      await this.call(instance, instance);
      return;
    }
    let cause: Error | undefined;
    for (const replica of replicaInstances) {
      try {
        await this.call(replica, instance);
        return;
      } catch (err) {
        cause = toError(err);
      }
    }
    throw new DaemonError(`no replica could pass the order to drain on to ${instance}`, { cause });
  }

  private async receive({ instance }: DrainParams): Promise<void> {
    const { network, onDrain } = this.opts;
    if (instance === undefined || instance === network.selfId) onDrain();
    else await this.call(instance, instance);
  }

  private async call(to: string, instance: string): Promise<void> {
    const params: DrainParams = { instance };
    await this.opts.network.call(to, METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
  }
}
