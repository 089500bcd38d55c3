import type { RaftMessage } from '@lagoongap/consensus/raftMessage.js';
import { instanceIdOf } from '@lagoongap/consensus/replicaId.js';

import type { Simulation } from './simulation.js';

/** Ranges of the normal and of the long message delay; long delays reorder messages. */
const DELAY_MS = [0.5, 10] as const;
const LONG_DELAY_MS = [10, 700] as const;

/**
 * Network that loses, duplicates, delays and reorders messages; links can be cut in one direction.
 */
export class SimulatedNetwork {
  private readonly cutLinks = new Set<string>();
  private isReliable = false;

  constructor(private readonly simulation: Simulation) {}

  /** Sends a message from an instance to the instance of its receiver. */
  send(from: string, message: RaftMessage): void {
    const { random, options } = this.simulation;
    const { loss, appendLoss, duplication } = options.faults;
    const hasEntries = message.type === 'append' && message.entries.length > 0;
    const lossChance = hasEntries ? loss + appendLoss : loss;
    if (this.cutLinks.has(`${from}>${instanceIdOf(message.to)}`)) return;
    if (!this.isReliable && random.chance(lossChance)) return;
    this.deliverLater(message);
    if (!this.isReliable && random.chance(duplication)) this.deliverLater(message);
  }

  /** Cuts the links between an instance and others, in one or both directions. */
  isolate(instanceId: string, direction: 'in' | 'out' | 'both', others: readonly string[]): void {
    for (const other of others) {
      if (direction !== 'in') this.cutLinks.add(`${instanceId}>${other}`);
      if (direction !== 'out') this.cutLinks.add(`${other}>${instanceId}`);
    }
  }

  /** Restores all links. */
  reconnect(): void {
    this.cutLinks.clear();
  }

  /** Restores all links and stops message loss, duplication and long delays. */
  heal(): void {
    this.reconnect();
    this.isReliable = true;
  }

  private deliverLater(message: RaftMessage): void {
    const { random, options, replicas } = this.simulation;
    const isLong = !this.isReliable && random.chance(options.faults.longDelay);
    const [min, max] = isLong ? LONG_DELAY_MS : DELAY_MS;
    this.simulation.after(random.between(min, max), () => {
      const to = replicas.find(({ instanceId }) => instanceId === instanceIdOf(message.to));
      to?.handleInput((core) => core.receive(message, to.nowMs));
    });
  }
}
