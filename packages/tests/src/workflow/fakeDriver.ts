import type {
  EndpointDriver,
  EndpointTarget,
  InspectOrder,
  Inspection,
  OrderResult,
  RunOrder,
  StartResponse,
  StartOrder,
} from '@lagoongap/workflow/endpointDriver.js';

import { FakeWorker } from './fakeWorker.js';

/** Timeout of an order. */
const ORDER_TIMEOUT_MS = 400;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function isReachable({ behaviour, address }: FakeWorker, target: EndpointTarget): boolean {
  return behaviour !== 'silent' && (address === undefined || address === target.address);
}

/** Delivers orders to {@link FakeWorker}s in the same process. */
export class FakeDriver implements EndpointDriver {
  readonly workers = new Map<string, FakeWorker>();
  /** Durations of the tasks of certain payloads on all workers. */
  readonly durationsMs = new Map<string, number>();
  /** Payloads of tasks that write a checkpoint when they are stopped, on all workers. */
  readonly checkpointingPayloads = new Set<string>();
  /** Stop orders received by workers, as `<task>:<run>`. */
  readonly stopped: string[] = [];
  /** Pace orders received, as `<task>:<percent>`. */
  readonly paces: string[] = [];
  /** Maximum number of concurrent runs of one task. */
  maxRunsPerTask = 0;
  /** Monotonic times of rejected start orders. */
  readonly rejectedAtMs: number[] = [];
  /** Monotonic times of inspections. */
  readonly inspectedAtMs: number[] = [];
  /** Monotonic time of the latest check that found the leadership valid. */
  validAtMs = -Infinity;
  /** Longest lease that an order granted, counted from the check before it. */
  longestLeaseMs = 0;
  /** Called for each start order that a worker has executed at once. */
  onStarted: ((worker: string, order: StartOrder) => void) | undefined;
  private readonly inspectionsLostBefore = new Map<string, number>();

  worker(id: string): FakeWorker {
    let worker = this.workers.get(id);
    if (!worker) {
      worker = new FakeWorker(this.durationsMs, this.checkpointingPayloads);
      this.workers.set(id, worker);
    }
    return worker;
  }

  /** Drops the responses to the inspections that are in flight. */
  loseInspections(id: string): void {
    this.inspectionsLostBefore.set(id, performance.now());
  }

  async start(target: EndpointTarget, order: StartOrder): Promise<StartResponse | undefined> {
    this.recordLease(order.untilMs);
    const worker = this.worker(target.id);
    if (!isReachable(worker, target)) return this.timeOut();
    if (worker.behaviour === 'crashed') return undefined;
    if (worker.behaviour === 'starts-late') {
      worker.startLate(order);
      return this.timeOut();
    }
    if (worker.rejection) {
      this.rejectedAtMs.push(performance.now());
      return { outcome: worker.rejection, clockMs: Math.floor(performance.now()) };
    }
    const outcome = worker.start(order);
    this.countRuns();
    if (outcome === 'started') this.onStarted?.(target.id, order);
    if (worker.behaviour === 'start-answers-lost') return this.timeOut();
    const response = { outcome, clockMs: worker.clockMs() };
    if (worker.startResponseDelayMs > 0) await pause(worker.startResponseDelayMs);
    return response;
  }

  async stop(target: EndpointTarget, order: RunOrder): Promise<boolean> {
    const worker = this.worker(target.id);
    if (worker.behaviour === 'crashed') return false;
    this.stopped.push(`${order.task}:${order.run}`);
    if (isReachable(worker, target)) return worker.stop(order);
    await pause(ORDER_TIMEOUT_MS);
    return false;
  }

  async inspect(target: EndpointTarget, order: InspectOrder): Promise<OrderResult<Inspection>> {
    this.recordLease(order.untilMs ?? -Infinity);
    const worker = this.worker(target.id);
    if (!isReachable(worker, target)) {
      await pause(ORDER_TIMEOUT_MS);
      return { failure: 'unreachable' };
    }
    if (worker.behaviour === 'crashed') {
      worker.closedConnections -= 1;
      return { failure: worker.closedConnections >= 0 ? 'unreachable' : 'refused' };
    }
    const { bornMs, rejection } = worker;
    if (rejection === 'unhealthy' || rejection === 'wrong-instance') return { failure: rejection };
    const sentMs = performance.now();
    this.inspectedAtMs.push(sentMs);
    const answer = await worker.inspect(order);
    if (worker.bornMs !== bornMs) return { failure: 'unreachable' };
    if (sentMs <= (this.inspectionsLostBefore.get(target.id) ?? -1)) {
      await pause(sentMs + order.waitMs + ORDER_TIMEOUT_MS - performance.now());
      return { failure: 'unreachable' };
    }
    return answer ? { answer } : { failure: 'fenced' };
  }

  async pace(_: EndpointTarget, order: RunOrder & { percent: number }): Promise<boolean> {
    this.paces.push(`${order.task}:${order.percent}`);
    return true;
  }

  disconnect(): void {}

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  /** All starts executed by any worker, as `<task>:<run>`. */
  get started(): string[] {
    return [...this.workers.values()].flatMap((worker) => worker.started);
  }

  private recordLease(untilMs: number): void {
    this.longestLeaseMs = Math.max(this.longestLeaseMs, untilMs - this.validAtMs);
  }

  private countRuns(): void {
    const counts = new Map<string, number>();
    for (const worker of this.workers.values()) {
      for (const { order } of worker.runs.values()) {
        counts.set(order.task, (counts.get(order.task) ?? 0) + 1);
      }
    }
    this.maxRunsPerTask = Math.max(this.maxRunsPerTask, ...counts.values());
  }

  private async timeOut(): Promise<undefined> {
    await pause(ORDER_TIMEOUT_MS);
    return undefined;
  }
}
