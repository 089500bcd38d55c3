import type { RaftMessage } from '@lagoongap/consensus/raftMessage.js';
import type { Membership } from '@lagoongap/consensus/replicatedLog.js';

import type { FakeMessage, FakeNetwork } from './fakeNetwork.js';
import type { Step, StepHooks } from './stepHooks.js';

type Reply = Parameters<FakeNetwork['receive']>[2];

/** Options of {@link FakeTransport}. */
export interface FakeTransportOptions {
  hooks: StepHooks;
  random: () => number;
}

/** Time without pings after which a connection counts as lost. */
const PING_TIMEOUT_MS = 2000;
const LATENCY_MS = 1;
const MAX_LATE_DELAY_MS = 1500;

const STEP_BY_METHOD: Record<string, Step> = {
  'placements.acquire': 'enqueue',
  'placements.release': 'release',
  'jobs.cancel': 'cancel',
  'notes.apply': 'publish a note',
  'gateway.poll answer': 'spread a note',
  'endpoints.heartbeat': 'renew',
  'replicas.join': 'join',
};

/** Disturbance that applies to all messages between instances. */
export type Disturbance = 'duplicate' | 'late' | 'reordered';

/** Delivers messages between instances in memory and injects network faults. */
export class FakeTransport {
  disturbance: Disturbance | undefined;
  private readonly opts: FakeTransportOptions;
  private readonly networks = new Map<string, FakeNetwork>();
  /** Directed links, as `from>to`, that lose every message. */
  private readonly cutLinks = new Set<string>();
  /** Queued deliveries of the paused instances, by instance. */
  private readonly held = new Map<string, (() => void)[]>();

  constructor(opts: FakeTransportOptions) {
    this.opts = opts;
  }

  attach(network: FakeNetwork): void {
    this.networks.set(network.selfId, network);
  }

  detach(network: FakeNetwork): void {
    if (this.networks.get(network.selfId) === network) this.networks.delete(network.selfId);
  }

  cutLink(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  /** Partitions an instance from all others, in both directions or only for what it sends. */
  isolate(instance: string, others: string[], direction: 'both' | 'outgoing'): void {
    for (const other of others) {
      if (other === instance) continue;
      this.cutLink(instance, other);
      if (direction === 'both') this.cutLink(other, instance);
    }
  }

  /** Restores all links, ends the disturbance and resumes paused instances. */
  heal(): void {
    this.cutLinks.clear();
    this.disturbance = undefined;
    for (const instance of [...this.held.keys()]) this.resume(instance);
  }

  /** Queues all messages from and to an instance, as if its process were suspended. */
  pause(instance: string): void {
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

  /**
   * Calls `onConnectionLost` if the other instance is down, or if the link is cut or the other
   * instance paused when the ping timeout has passed.
   */
  watchConnection(from: string, to: string, onConnectionLost: () => void): void {
    if (from === to) return;
    if (!this.networks.has(to)) {
      setTimeout(onConnectionLost, LATENCY_MS);
      return;
    }
    setTimeout(() => {
      if (!this.isConnected(from, to) || this.held.has(to)) onConnectionLost();
    }, PING_TIMEOUT_MS);
  }

  send(from: string, to: string, method: string, deliver: () => void): void {
    const step = STEP_BY_METHOD[method];
    if (step) this.opts.hooks.reportStep(step, { instance: to, peer: from });
    const deliverUnlessCut = (): void => {
      if (this.isCut(from, to)) return;
      const pausedInstance = [from, to].find((id) => this.held.has(id));
      if (pausedInstance !== undefined) this.held.get(pausedInstance)!.push(deliver);
      else deliver();
    };
    for (const delayMs of this.drawDelays()) setTimeout(deliverUnlessCut, delayMs);
  }

  deliverCall(from: string, to: string, message: FakeMessage, reply: Reply): void {
    this.networks.get(to)?.receive(from, message, reply);
  }

  /** Reports the steps at which Raft messages bring a replica with a new disk up to date. */
  reportReplicationSteps(from: string, to: string, params: unknown): void {
    const message = params as Partial<RaftMessage>;
    const { hooks } = this.opts;
    const context = { instance: from, peer: to };
    if (message.type === 'snapshot') hooks.reportStep('install a snapshot', context);
    if (message.type !== 'append' || !message.to || message.to.endsWith('/bootstrap')) return;
    hooks.reportStep('catch up', context);
    const isPromotion = message.entries?.some(
      ({ type, data }) =>
        type === 'membership' && (data as Membership).voters.includes(message.to!),
    );
    if (isPromotion) hooks.reportStep('promote', context);
  }

  private isCut(from: string, to: string): boolean {
    return this.cutLinks.has(`${from}>${to}`);
  }

  private drawDelays(): number[] {
    const { random } = this.opts;
    if (this.disturbance === 'duplicate') return [LATENCY_MS, LATENCY_MS + random() * 50];
    if (this.disturbance === 'late') return [MAX_LATE_DELAY_MS * random()];
    if (this.disturbance === 'reordered') return [random() * 100];
    return [LATENCY_MS];
  }
}
