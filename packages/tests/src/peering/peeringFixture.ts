import { setTimeout as delay } from 'node:timers/promises';

import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { PeerTlsOptions, TcpPeerNetworkOptions } from '@lagoongap/peering/peeringOptions.js';
import { TcpPeerNetwork } from '@lagoongap/peering/tcpPeerNetwork.js';
import { PausableRelay } from '@lagoongap/stand-in/pausableRelay.js';

import { waitFor } from './waitFor.js';

/** Network options that a scenario may override for all instances. */
export type PeeringLimits = Omit<TcpPeerNetworkOptions, 'selfId' | 'listen' | 'peers' | 'tls'>;

/** Scenario state shared by the step definitions. */
export interface PeeringWorld {
  peering: PeeringFixture;
}

/** Short timeouts that keep the scenarios fast; one scenario uses the defaults. */
const FAST_TIMEOUTS: PeeringLimits = { pingMs: 100, silenceMs: 500 };

const LOOPBACK = '127.0.0.1';

/** Two instances, `a` and `b`, with one relay for each direction of dialling. */
export class PeeringFixture implements AsyncDisposable {
  limits: PeeringLimits = FAST_TIMEOUTS;
  readonly tls = new Map<string, PeerTlsOptions>();
  readonly networks = new Map<string, TcpPeerNetwork>();
  readonly relays = new Map<string, PausableRelay>();
  readonly log: string[] = [];

  /** Outcomes of recorded calls, in the order in which they settled. */
  readonly settled: { name: string; value?: unknown; error?: Error & { code?: number } }[] = [];

  /** Parameters of the notifications that instance `b` has received. */
  readonly receivedNotifications: unknown[] = [];

  /** Send the responses to the calls of method `hold`, in the order of their arrival. */
  readonly heldResponses: (() => void)[] = [];

  private readonly ids = ['a', 'b'];

  async start(): Promise<void> {
    for (const from of this.ids) {
      for (const to of this.ids) {
        if (from === to) continue;
        const relay = new PausableRelay();
        await relay.start();
        this.relays.set(`${from}-${to}`, relay);
      }
    }
    for (const id of this.ids) await this.startNetwork(id);
  }

  /** Starts the network of one instance, or restarts it after it has been stopped. */
  async startNetwork(id: string): Promise<void> {
    const others = this.ids.filter((other) => other !== id);
    const recordLog = (message: string, details?: object) => {
      this.log.push(`${id}: ${message} ${JSON.stringify(details ?? {})}`);
    };
    const network = new TcpPeerNetwork({
      selfId: id,
      listen: { host: LOOPBACK, port: 0 },
      peers: others.map((other) => ({ id: other, ...this.relays.get(`${id}-${other}`)!.address })),
      tls: this.tls.get(id),
      logger: { debug: recordLog, info: recordLog, warn: recordLog, error: recordLog },
      ...this.limits,
    });
    this.addHandlers(network);
    await network.start();
    this.networks.set(id, network);
    for (const other of others) this.relays.get(`${other}-${id}`)!.target = network.address;
  }

  async connect(): Promise<void> {
    await waitFor('a and b can call each other', async () => {
      const calls = [this.call('a', 'b', 'echo', 0), this.call('b', 'a', 'echo', 0)];
      const results = await Promise.allSettled(calls);
      return results.every(({ status }) => status === 'fulfilled');
    });
  }

  /** Calls a method of one instance from another. */
  async call(
    from: string,
    to: string,
    method: string,
    params: unknown,
    timeoutMs = 2000,
    connectMs = 0,
  ) {
    return this.networks.get(from)!.call(to, method, params, { timeoutMs, connectMs });
  }

  /** Calls a method from instance `a` and adds the outcome to `settled`. */
  async record(
    name: string,
    to: string,
    method: string,
    params: unknown,
    timeoutMs = 2000,
    connectMs = 0,
  ) {
    try {
      const value = await this.call('a', to, method, params, timeoutMs, connectMs);
      this.settled.push({ name, value });
    } catch (err) {
      this.settled.push({ name, error: err as Error });
    }
  }

  /** Outcome of the call that settled last. */
  get lastSettled() {
    return this.settled[this.settled.length - 1]!;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const parts = [...this.networks.values(), ...this.relays.values()];
    await Promise.all(parts.map((part) => part[Symbol.asyncDispose]()));
  }

  private addHandlers(network: TcpPeerNetwork): void {
    network.handle('echo', (params) => params);
    network.handle('delay', async (params) => {
      await delay(params as number);
      return params;
    });
    network.handle('hold', async (params) => {
      await new Promise<void>((resolve) => {
        this.heldResponses.push(resolve);
      });
      return params;
    });
    network.handle('repeat', (params) => 'x'.repeat(params as number));
    network.handle('fail', () => {
      throw Object.assign(new Error('broken'), { code: 17, data: { leader: 'c' } });
    });
    network.handle('refuse', () => {
      throw new RefusalError({ type: 'queue-full', runState: 'not-run', message: 'queue is full' });
    });
    network.handle('note', (params) => {
      this.receivedNotifications.push(params);
    });
  }
}
