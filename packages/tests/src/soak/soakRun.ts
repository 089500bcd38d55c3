import { join } from 'node:path';

import { delay } from '@lagoongap/model/delay.js';
import { PausableRelay } from '@lagoongap/stand-in/pausableRelay.js';

import { EndpointStandIn } from '../platform/endpointStandIn.js';
import type { RunCourse } from '../workflow/fakeWorker.js';
import { planFaults, type PlannedFault } from './faultPlan.js';
import { createOddHeartbeats } from './oddHeartbeats.js';
import { SoakHistory, type SoakJobKind } from './soakHistory.js';
import { ServiceMonitor } from './serviceMonitor.js';
import { SoakLoad } from './soakLoad.js';
import { MAX_LEASE_MS, SoakSystem } from './soakSystem.js';

/** Options of {@link SoakRun}. */
export interface SoakOptions {
  seed: number;
  /** Folder for the settings, data and logs of the programs. */
  folder: string;
  replicas: number;
  gateways: number;
  endpoints: number;
  /** Duration of the load and of fault injection in milliseconds. */
  loadMs: number;
}

/** Result of one seed. */
export interface SoakResult {
  seed: number;
  violations: string[];
  accepted: number;
  starts: number;
  faults: PlannedFault[];
  /** Programs that run at the end of the load, and their memory. */
  processes: number;
  memoryMb: number;
}

const CAPACITY_MILLIS = 16_000;

/** Factors by which the capacity of an endpoint changes for some time. */
const CAPACITY_FACTORS = [0.25, 0.5, 0, 1.5] as const;

const COURSES: Record<SoakJobKind, RunCourse> = {
  batch: 'ends',
  service: 'lasts',
  crashing: 'crashes',
};

/** Time from the crash of an endpoint to its next incarnation. */
const CRASH_DOWN_MS = 2000;

/** Interval at which another writer sends odd heartbeats. */
const ODD_HEARTBEAT_INTERVAL_MS = 60;
const ODD_HEARTBEAT_TIMEOUT_MS = 1000;
const TASK_MS = 300;

/** Time within which all accepted jobs must end after the last fault. */
const SETTLE_TIMEOUT_MS = 30_000;

/** Time for which a power loss waits for an acknowledgement. */
const MAX_ACKNOWLEDGEMENT_WAIT_MS = 2000;

/** Time for which an endpoint is out of reach after all faults; longer than a lease. */
const CALM_CUT_MS = 5000;

/** Time within which the tasks of cancelled jobs must end. */
const CANCEL_BOUND_MS = 5000;

/** Interval at which the states of unfinished jobs are read. */
const POLL_INTERVAL_MS = 250;

/** Endpoint behind a relay whose traffic can be cut. */
interface RelayedEndpoint {
  standIn: EndpointStandIn;
  relay: PausableRelay;
}

/** Runs one seed against the real programs with stand-in endpoints and faults from outside. */
export class SoakRun implements AsyncDisposable {
  private readonly opts: SoakOptions;
  private readonly history = new SoakHistory(CAPACITY_MILLIS);
  private readonly advisor = new EndpointStandIn('advisor', () => []);
  private readonly endpoints: RelayedEndpoint[] = [];
  private system: SoakSystem | undefined;

  constructor(opts: SoakOptions) {
    this.opts = opts;
  }

  async run(): Promise<SoakResult> {
    const { seed, replicas, gateways, loadMs } = this.opts;
    await this.advisor.start();
    const folder = join(this.opts.folder, `seed-${seed}`);
    const system = new SoakSystem(folder, this.advisor.address);
    this.system = system;
    await system.start(replicas, gateways);
    const load = new SoakLoad(
      seed,
      this.history,
      () => system.callerAddresses,
      () => system.controlAddresses,
    );
    await this.addEndpoints(system);
    await load.updateConfig();
    const faults = planFaults(seed, loadMs);
    await Promise.all([
      load.submitRollCall(this.endpoints.length),
      load.generateLoad(loadMs),
      ...faults.map(async (fault) => {
        await delay(fault.atMs);
        await this.inject(system, load, fault);
      }),
    ]);
    await load.awaitPendingCalls();
    const usage = await system.measure();
    await this.checkServices(load);
    await this.checkFinalState(load);
    const { violations, startCount } = this.history;
    const accepted = this.listFiniteJobs().length + this.history.listAccepted('service').length;
    return { seed, violations, accepted, starts: startCount, faults, ...usage };
  }

  /** Returns the ids of the accepted jobs that end by themselves. */
  private listFiniteJobs(): string[] {
    return [...this.history.listAccepted('batch'), ...this.history.listAccepted('crashing')];
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
      const standIn = new EndpointStandIn(id, () => system.controlAddresses);
      standIn.worker.durationMs = TASK_MS;
      standIn.worker.maxLeaseMs = MAX_LEASE_MS;
      standIn.worker.getCourse = ({ payload }) => COURSES[payload as SoakJobKind];
      standIn.worker.onCrash = () => {
        standIn.crash(CRASH_DOWN_MS).catch(() => undefined);
      };
      standIn.onCapacityReport = (millis) => this.history.recordCapacity(id, millis);
      standIn.onCapacityAcknowledged = (millis) =>
        this.history.recordCapacityAcknowledged(id, millis);
      standIn.worker.observer = {
        onStart: ({ task, run }) => {
          // All endpoints share this process, whose timers may fire late under load.
          for (const { standIn: other } of this.endpoints) other.worker.checkLease();
          this.history.recordStart(id, task, run);
        },
        onEnd: ({ task, run, outcome }) => this.history.recordEnd(id, task, run, outcome),
        onAcknowledged: ({ task, run }) => this.history.recordAcknowledgement(task, run),
        onLeaseExpired: () => this.history.recordLapse(id),
      };
      const relay = new PausableRelay();
      const { host, port } = await relay.start();
      standIn.reportedAddress = `${host}:${port}`;
      await standIn.start();
      const [targetHost = '', targetPort] = standIn.address.split(':');
      relay.target = { host: targetHost, port: Number(targetPort) };
      this.endpoints.push({ standIn, relay });
    }
  }

  private async inject(system: SoakSystem, load: SoakLoad, fault: PlannedFault): Promise<void> {
    const { kind, target, durationMs } = fault;
    const { standIn, relay } = this.endpoints[target % this.endpoints.length]!;
    const { worker } = standIn;
    const leader = system.findReplicaIndex(standIn.leaderAddress ?? '');
    const applyBehaviour = async (behaviour: typeof worker.behaviour): Promise<void> => {
      worker.behaviour = behaviour;
      await delay(durationMs);
      worker.behaviour = 'sound';
    };
    const cutRelay = async (direction: 'both' | 'to-target' | 'from-target'): Promise<void> => {
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
        return system.suspend('replica', target, durationMs);
      case 'freeze-leader':
        return system.suspend('replica', leader, durationMs);
      case 'stop-replica':
        return system.stopGracefully('replica', target);
      case 'wipe-replica':
        return this.wipeDisk(system, target, durationMs);
      case 'tear-log':
        return system.damageDisk(target, durationMs, 'tear');
      case 'kill-all-replicas':
        return system.killAllReplicas(durationMs);
      case 'lose-power-and-disk':
        return this.losePower(system, target, durationMs);
      case 'kill-gateway':
        return system.kill('gateway', target, durationMs);
      case 'freeze-gateway':
        return system.suspend('gateway', target, durationMs);
      case 'stop-gateway':
        return system.stopGracefully('gateway', target);
      case 'reload':
        return system.reload(target);
      case 'crash-endpoint':
        return standIn.crash(target % 2 === 0 ? 0 : durationMs);
      case 'change-capacity':
        standIn.cpuMillis = CAPACITY_MILLIS * CAPACITY_FACTORS[target % CAPACITY_FACTORS.length]!;
        await delay(durationMs);
        standIn.cpuMillis = CAPACITY_MILLIS;
        return undefined;
      case 'crashing-job':
        return load.submitCrashingJob();
      case 'odd-heartbeats':
        return SoakRun.sendOddHeartbeats(system, standIn, durationMs);
      case 'silence-endpoint':
        return applyBehaviour('silent');
      case 'cut-endpoint':
        return cutRelay('both');
      case 'half-cut-endpoint':
        return cutRelay('from-target');
      case 'reset-endpoint':
        return relay.dropConnections();
      case 'lose-answers':
        return applyBehaviour('start-answers-lost');
      case 'late-starts':
        return applyBehaviour('starts-late');
      case 'fail-tasks':
        return applyBehaviour('failing');
      default:
        return kind satisfies never;
    }
  }

  /** Sends heartbeats of another writer, some of them under the id of an endpoint. */
  private static async sendOddHeartbeats(
    system: SoakSystem,
    standIn: EndpointStandIn,
    durationMs: number,
  ): Promise<void> {
    const endMs = performance.now() + durationMs;
    for (let count = 0; performance.now() < endMs; count += 1) {
      const odd = createOddHeartbeats(standIn.createHeartbeat());
      const { hasKnownId, body } = odd[count % odd.length]!;
      const id = hasKnownId ? standIn.id : `odd-${standIn.id}`;
      const control = system.controlAddresses[count % system.controlAddresses.length]!;
      const signal = AbortSignal.timeout(ODD_HEARTBEAT_TIMEOUT_MS);
      const url = `http://${control}/-/instances/${id}`;
      const res = await fetch(url, { method: 'PUT', body, signal }).catch(() => undefined);
      await res?.text().catch(() => undefined);
      await delay(ODD_HEARTBEAT_INTERVAL_MS);
    }
  }

  /** Whether disks have been wiped: no more may be lost than the replicas tolerate at once. */
  private hasWipedDisk = false;

  /** Ends all programs right after the next acknowledgement, with as many disks as tolerated. */
  private async losePower(system: SoakSystem, target: number, downMs: number): Promise<void> {
    await this.history.waitForAcknowledgement(MAX_ACKNOWLEDGEMENT_WAIT_MS);
    const toleratedCount = Math.floor((this.opts.replicas - 1) / 2);
    const wipedCount = this.hasWipedDisk ? 0 : toleratedCount;
    this.hasWipedDisk = true;
    await system.losePower(target, wipedCount, downMs);
  }

  private async wipeDisk(system: SoakSystem, target: number, downMs: number): Promise<void> {
    if (this.hasWipedDisk) return system.kill('replica', target, downMs);
    this.hasWipedDisk = true;
    return system.damageDisk(target, downMs, 'wipe');
  }

  /**
   * Waits until all service tasks run, ends the runs of two endpoints, one of them out of reach,
   * and waits again. Then cancels the services and waits until they have ended.
   */
  private async checkServices(load: SoakLoad): Promise<void> {
    const [crashed, cut] = this.endpoints.slice(this.opts.seed % (this.endpoints.length - 1));
    let isCut = false;
    const isUsable = ({ relay }: RelayedEndpoint): boolean => relay !== cut?.relay || !isCut;
    using monitor = new ServiceMonitor(this.history, () =>
      this.endpoints.filter(isUsable).map(({ standIn }) => standIn.id),
    );
    await SoakRun.waitFor(() => monitor.isSettled, SETTLE_TIMEOUT_MS);
    isCut = true;
    cut?.relay.pause('both');
    await crashed?.standIn.crash(0);
    await delay(CALM_CUT_MS);
    await SoakRun.waitFor(() => monitor.isSettled, SETTLE_TIMEOUT_MS);
    cut?.relay.resume();
    isCut = false;
    await SoakRun.waitFor(() => monitor.isSettled, SETTLE_TIMEOUT_MS);
    await load.cancelAll(this.history.listAccepted('service'));
    await SoakRun.waitFor(() => !this.history.hasCancelledRun, CANCEL_BOUND_MS);
  }

  private static async waitFor(condition: () => boolean, maxMs: number): Promise<void> {
    const endMs = performance.now() + maxMs;
    while (!condition() && performance.now() < endMs) await delay(POLL_INTERVAL_MS);
  }

  /** Waits until all accepted jobs have ended, then checks the final guarantees. */
  private async checkFinalState(load: SoakLoad): Promise<void> {
    const endMs = performance.now() + SETTLE_TIMEOUT_MS;
    let unfinished = this.listFiniteJobs();
    while (unfinished.length > 0 && performance.now() < endMs) {
      const left: string[] = [];
      for (const id of unfinished) {
        const state = await load.readState(id);
        if (state === 'gone') this.history.violations.push(`${id} was accepted but is not found`);
        const hasEnded = state !== undefined && !['queued', 'running'].includes(state);
        if (!hasEnded) left.push(id);
      }
      unfinished = left;
      if (unfinished.length > 0) await delay(POLL_INTERVAL_MS);
    }
    for (const id of unfinished) this.history.violations.push(`${id} has not ended`);
    await load.readConfig();
    this.history.checkFinalState();
  }
}
