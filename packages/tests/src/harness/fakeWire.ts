import type { RaftMessage } from '@lagoongap/consensus/raftMessage.js';
import type { Membership } from '@lagoongap/consensus/replicatedLog.js';

import type { FakeNetwork } from './fakeNetwork.js';
import type { Step, StepHooks } from './stepHooks.js';

type Reply = Parameters<FakeNetwork['receive']>[3];

/** Options of {@link FakeWire}. */
export interface FakeWireOptions {
  hooks: StepHooks;
  random: () => number;
}

/** Time after which a connection without pings is replaced. */
const SILENCE_MS = 2000;
const LATENCY_MS = 1;
const LATE_MS = 1500;

const STEP_OF_METHOD: Record<string, Step> = {
  'placements.acquire': 'enqueue',
  'placements.release': 'release',
  'jobs.cancel': 'cancel',
  'notes.apply': 'publish a note',
  'gateway.poll answer': 'spread a note',
  'endpoints.heartbeat': 'renew',
  'replicas.join': 'join',
};

/** Disturbance of the messages between instances. */
export type Disturbance = 'duplicate' | 'late' | 'reordered';

/** Carries messages between instances in memory, with faults. */
export class FakeWire {
  disturbance: Disturbance | undefined;
  private readonly opts: FakeWireOptions;
  private readonly networks = new Map<string, FakeNetwork>();
  /** Directed pairs `from>to` that lose every message. */
  private readonly cuts = new Set<string>();
  /** Instances whose messages are kept until they are resumed. */
  private readonly held = new Map<string, (() => void)[]>();

  constructor(opts: FakeWireOptions) {
    this.opts = opts;
  }

  attach(network: FakeNetwork): void {
    this.networks.set(network.selfId, network);
  }

  detach(network: FakeNetwork): void {
    if (this.networks.get(network.selfId) === network) this.networks.delete(network.selfId);
  }

  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Cuts an instance off from all others: both ways, or only what it sends. */
  isolate(instance: string, others: string[], direction: 'both' | 'outgoing'): void {
    for (const other of others) {
      if (other === instance) continue;
      this.cut(instance, other);
      if (direction === 'both') this.cut(other, instance);
    }
  }

  /** Ends all cuts and disturbances. */
  heal(): void {
    this.cuts.clear();
    this.disturbance = undefined;
    for (const instance of [...this.held.keys()]) this.resume(instance);
  }

  /** Keeps all messages from and to an instance, as while its process is stopped. */
  hold(instance: string): void {
    this.held.set(instance, this.held.get(instance) ?? []);
  }

  resume(instance: string): void {
    const deliveries = this.held.get(instance) ?? [];
    this.held.delete(instance);
    for (const deliver of deliveries) deliver();
  }

  isConnected(from: string, to: string): boolean {
    return this.networks.has(to) && !this.isCut(from, to) && !this.isCut(to, from);
  }

  /** Calls `onSilent` if the connection carries nothing for too long after it was cut. */
  watch(from: string, to: string, onSilent: () => void): void {
    if (from === to) return;
    if (!this.networks.has(to)) {
      setTimeout(onSilent, LATENCY_MS);
      return;
    }
    setTimeout(() => {
      if (!this.isConnected(from, to) || this.held.has(to)) onSilent();
    }, SILENCE_MS);
  }

  send(from: string, to: string, method: string, deliver: () => void): void {
    const step = STEP_OF_METHOD[method];
    if (step) this.opts.hooks.reach(step, { instance: to, peer: from });
    const arrive = (): void => {
      if (this.isCut(from, to)) return;
      const holder = [from, to].find((id) => this.held.has(id));
      if (holder !== undefined) this.held.get(holder)!.push(deliver);
      else deliver();
    };
    for (const delayMs of this.listDelays()) setTimeout(arrive, delayMs);
  }

  deliverCall(from: string, to: string, method: string, body: string, reply: Reply): void {
    this.networks.get(to)?.receive(from, method, body, reply);
  }

  /** Reports messages that bring a replica with a new disk up to date. */
  reportReplication(from: string, to: string, params: unknown): void {
    const message = params as Partial<RaftMessage>;
    const { hooks } = this.opts;
    const context = { instance: from, peer: to };
    if (message.type === 'snapshot') hooks.reach('install a snapshot', context);
    if (message.type !== 'append' || !message.to || message.to.endsWith('/bootstrap')) return;
    hooks.reach('catch up', context);
    const isPromotion = message.entries?.some(
      ({ type, data }) =>
        type === 'membership' && (data as Membership).voters.includes(message.to!),
    );
    if (isPromotion) hooks.reach('promote', context);
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  private listDelays(): number[] {
    const { random } = this.opts;
    if (this.disturbance === 'duplicate') return [LATENCY_MS, LATENCY_MS + random() * 50];
    if (this.disturbance === 'late') return [LATE_MS * random()];
    if (this.disturbance === 'reordered') return [random() * 100];
    return [LATENCY_MS];
  }
}
