import { join } from 'node:path';

import { delay } from '@lagoongap/model/delay.js';
import { SilentRelay } from '@lagoongap/stand-in/silentRelay.js';

import { EndpointStandIn } from '../platform/endpointStandIn.js';
import { planFaults, type PlannedFault } from './faultPlan.js';
import { SoakHistory } from './soakHistory.js';
import { SoakLoad } from './soakLoad.js';
import { SoakSystem } from './soakSystem.js';

/** Size and length of a soak. */
export interface SoakOptions {
  seed: number;
  /** Folder for settings, data and logs of the programs. */
  folder: string;
  replicas: number;
  gateways: number;
  endpoints: number;
  /** Time for which callers press and faults strike in milliseconds. */
  loadMs: number;
}

/** Result of one seed. */
export interface SoakResult {
  seed: number;
  violations: string[];
  accepted: number;
  starts: number;
  faults: PlannedFault[];
}

const CAPACITY_MILLIS = 16_000;
const TASK_MS = 300;

/** Time within which everything accepted must be completed once the faults are over. */
const SETTLE_MS = 30_000;

/** Time for which a cell may take to accept its first configuration. */
const POLL_MS = 250;

/** An endpoint behind a relay that can be cut. */
interface RelayedEndpoint {
  standIn: EndpointStandIn;
  relay: SilentRelay;
}

/** Plays one seed: real programs, stand-ins around them, faults from outside. */
export class SoakRun implements AsyncDisposable {
  private readonly opts: SoakOptions;
  private readonly history = new SoakHistory(CAPACITY_MILLIS);
  private readonly advisor = new EndpointStandIn('advisor', () => []);
  private readonly endpoints: RelayedEndpoint[] = [];
  private system: SoakSystem | undefined;

  constructor(opts: SoakOptions) {
    this.opts = opts;
  }

  async play(): Promise<SoakResult> {
    const { seed, replicas, gateways, loadMs } = this.opts;
    await this.advisor.start();
    const folder = join(this.opts.folder, `seed-${seed}`);
    const system = new SoakSystem(folder, this.advisor.address);
    this.system = system;
    await system.start(replicas, gateways);
    const load = new SoakLoad(
      seed,
      this.history,
      () => system.callers,
      () => system.controls,
    );
    await this.addEndpoints(system);
    await load.configure();
    const faults = planFaults(seed, loadMs);
    await Promise.all([
      load.press(loadMs),
      ...faults.map(async (fault) => {
        await delay(fault.atMs);
        await this.inject(system, fault);
      }),
    ]);
    await load.settle();
    await this.judge(load);
    const { violations, acceptedIds, startCount } = this.history;
    return { seed, violations, accepted: acceptedIds.length, starts: startCount, faults };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.system?.[Symbol.asyncDispose]();
    for (const { standIn, relay } of this.endpoints) {
      await relay[Symbol.asyncDispose]();
      await standIn[Symbol.asyncDispose]();
    }
    await this.advisor[Symbol.asyncDispose]();
  }

  private async addEndpoints(system: SoakSystem): Promise<void> {
    for (let i = 1; i <= this.opts.endpoints; i += 1) {
      const id = `i-${i}`;
      const standIn = new EndpointStandIn(id, () => system.controls);
      standIn.worker.durationMs = TASK_MS;
      standIn.worker.observer = {
        onStart: ({ task }) => this.history.noteStart(id, task),
        onEnd: ({ task, run, outcome }) => this.history.noteEnd(id, task, run, outcome),
        onAcknowledged: ({ task, run, outcome }) => this.history.noteNoted(task, run, outcome),
      };
      const relay = new SilentRelay();
      const { host, port } = await relay.start();
      standIn.reportedAddress = `${host}:${port}`;
      await standIn.start();
      const [targetHost = '', targetPort] = standIn.address.split(':');
      relay.target = { host: targetHost, port: Number(targetPort) };
      this.endpoints.push({ standIn, relay });
    }
  }

  private async inject(system: SoakSystem, fault: PlannedFault): Promise<void> {
    const { kind, target, durationMs } = fault;
    const { standIn, relay } = this.endpoints[target % this.endpoints.length]!;
    const { worker } = standIn;
    const leader = system.indexOfControl(standIn.leaderAddress ?? '');
    const setMood = async (mood: typeof worker.behaviour): Promise<void> => {
      worker.behaviour = mood;
      await delay(durationMs);
      worker.behaviour = 'sound';
    };
    const cut = async (direction: 'both' | 'to-target' | 'from-target'): Promise<void> => {
      relay.pause(direction);
      await delay(durationMs);
      relay.resume();
    };
    switch (kind) {
      case 'kill-replica':
        return system.kill('replica', target, durationMs);
      case 'kill-leader':
        return system.kill('replica', leader, durationMs);
      case 'freeze-replica':
        return system.freeze('replica', target, durationMs);
      case 'freeze-leader':
        return system.freeze('replica', leader, durationMs);
      case 'stop-replica':
        return system.terminate('replica', target);
      case 'wipe-replica':
        return this.wipe(system, target, durationMs);
      case 'tear-log':
        return system.damage(target, durationMs, 'tear');
      case 'kill-all-replicas':
        return system.killAllReplicas(durationMs);
      case 'kill-gateway':
        return system.kill('gateway', target, durationMs);
      case 'freeze-gateway':
        return system.freeze('gateway', target, durationMs);
      case 'stop-gateway':
        return system.terminate('gateway', target);
      case 'reload':
        return system.reload(target);
      case 'crash-endpoint':
        return worker.restart();
      case 'silence-endpoint':
        return setMood('silent');
      case 'cut-endpoint':
        return cut('both');
      case 'half-cut-endpoint':
        return cut('from-target');
      case 'reset-endpoint':
        return relay.dropConnections();
      case 'lose-answers':
        return setMood('start-answers-lost');
      case 'late-starts':
        return setMood('starts-late');
      case 'fail-tasks':
        return setMood('failing');
      default:
        return kind satisfies never;
    }
  }

  /** Only one disk may be lost, as three replicas bear no more. */
  private wiped = false;

  private async wipe(system: SoakSystem, target: number, downMs: number): Promise<void> {
    if (this.wiped) return system.kill('replica', target, downMs);
    this.wiped = true;
    return system.damage(target, downMs, 'wipe');
  }

  /** Waits until everything accepted has ended, and checks what must hold then. */
  private async judge(load: SoakLoad): Promise<void> {
    const endMs = performance.now() + SETTLE_MS;
    let open = this.history.acceptedIds;
    while (open.length > 0 && performance.now() < endMs) {
      const left: string[] = [];
      for (const id of open) {
        const state = await load.readState(id);
        if (state === 'gone') this.history.violations.push(`${id} was accepted and is not known`);
        const isOver = state !== undefined && !['queued', 'running'].includes(state);
        if (!isOver) left.push(id);
      }
      open = left;
      if (open.length > 0) await delay(POLL_MS);
    }
    for (const id of open) this.history.violations.push(`${id} has not ended`);
    await load.readConfig();
    this.history.close();
  }
}
