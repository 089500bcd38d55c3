import type {
  EndpointDriver,
  EndpointTarget,
  InspectOrder,
  Inspection,
  OrderResult,
  RunOrder,
  StartAnswer,
  StartOrder,
} from '@lagoongap/workflow/endpointDriver.js';

import { FakeWorker } from './fakeWorker.js';

/** Time after which a caller stops to wait for an answer. */
const TIMEOUT_MS = 400;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Carries orders to {@link FakeWorker}s in the same process. */
export class FakeDriver implements EndpointDriver {
  readonly workers = new Map<string, FakeWorker>();
  /** Paces that were set, as `<task>:<percent>`. */
  readonly paces: string[] = [];
  /** Most tasks that were at work at once under one name. */
  maxRunsPerTask = 0;
  private readonly lostBefore = new Map<string, number>();

  worker(id: string): FakeWorker {
    let worker = this.workers.get(id);
    if (!worker) {
      worker = new FakeWorker();
      this.workers.set(id, worker);
    }
    return worker;
  }

  /** Loses the answers to the inspections that are under way. */
  loseInspections(id: string): void {
    this.lostBefore.set(id, performance.now());
  }

  async start(target: EndpointTarget, order: StartOrder): Promise<StartAnswer | undefined> {
    const worker = this.worker(target.id);
    if (worker.mood === 'silent') return this.time();
    if (worker.mood === 'starts-late') {
      worker.startLate(order);
      return this.time();
    }
    const outcome = worker.start(order);
    this.countRuns();
    if (worker.mood === 'start-answers-lost') return this.time();
    return { outcome, clockMs: Math.floor(performance.now()) };
  }

  async stop(target: EndpointTarget, order: RunOrder): Promise<boolean> {
    const worker = this.worker(target.id);
    if (worker.mood !== 'silent') return worker.stop(order);
    await pause(TIMEOUT_MS);
    return false;
  }

  async inspect(target: EndpointTarget, order: InspectOrder): Promise<OrderResult<Inspection>> {
    const worker = this.worker(target.id);
    if (worker.mood === 'silent') {
      await pause(TIMEOUT_MS);
      return { failure: 'unreachable' };
    }
    const sentMs = performance.now();
    const answer = await worker.inspect(order);
    if (sentMs <= (this.lostBefore.get(target.id) ?? -1)) {
      await pause(sentMs + order.waitMs + TIMEOUT_MS - performance.now());
      return { failure: 'unreachable' };
    }
    return answer ? { answer } : { failure: 'fenced' };
  }

  async pace(_: EndpointTarget, order: RunOrder & { percent: number }): Promise<boolean> {
    this.paces.push(`${order.task}:${order.percent}`);
    return true;
  }

  forget(): void {}

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  /** Every start that was carried out anywhere. */
  get started(): string[] {
    return [...this.workers.values()].flatMap((worker) => worker.started);
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

  private async time(): Promise<undefined> {
    await pause(TIMEOUT_MS);
    return undefined;
  }
}
