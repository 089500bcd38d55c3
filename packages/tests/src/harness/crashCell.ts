import type { CancelResult, JobView, SubmitJobResult } from '@lagoongap/model/messages.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import type { JobSpec } from '@lagoongap/model/workload.js';
import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';
import FakeTimers from '@sinonjs/fake-timers';

import { FAKED_TIMERS } from './fakedTimers.js';
import { createTestNote, TestCell } from './testCell.js';

/** Prefix of the markers of work that crashes its endpoint. */
export const DEADLY_PREFIX = 'deadly';

const SEED = 20_261_205;
const STARTUP_MS = 6000;
/** Time from the start of deadly work to the crash of its endpoint. */
const CRASH_DELAY_MS = 10;
const REQUEST_DEADLINE_MS = 120_000;
const QUEUES: Record<JobSpec['kind'], string> = {
  service: 'indexing',
  batch: 'recomputation',
  gang: 'bench-runs',
};

/** Job of a crash scenario. */
export interface CrashJob {
  kind: JobSpec['kind'];
  marker: string;
  tasks?: number;
  /** Run time of each task; a task without one runs until it is stopped. */
  runMs?: number;
}

/** In-memory cell on a paused clock, in which some work crashes each endpoint that starts it. */
export class CrashCell implements AsyncDisposable {
  readonly cell: TestCell;
  /** Time after a crash at which the endpoint is back; undefined restarts it at once. */
  absenceMs: number | undefined;
  private readonly clock = FakeTimers.install({ toFake: [...FAKED_TIMERS] });

  constructor(runners: number, replicas: number) {
    this.cell = new TestCell({
      seed: SEED,
      replicas,
      gateways: 0,
      runners,
      createScheduler: () => new FairShareScheduler(createSeededRandom(SEED)),
    });
    this.cell.onStart = (event) => this.handleStart(event);
  }

  async start(): Promise<void> {
    await this.cell.start();
    await this.clock.tickAsync(STARTUP_MS);
    await this.settle(this.cell.applyNote(this.cell.instanceIds[0]!, createTestNote()));
    await this.advance(1000);
  }

  async advance(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
  }

  async submit({ kind, marker, tasks = 1, runMs }: CrashJob): Promise<void> {
    const spec: JobSpec = {
      kind,
      queue: QUEUES[kind],
      work: 'metering',
      tasks,
      size: { ...NO_RESOURCES, cpuMillis: 500, memoryMib: 128 },
      payload: { marker, runMs },
      noRepeat: false,
    };
    const params = { id: `job-${marker}`, keyId: 'laboratories-1', spec };
    await this.settle(this.cell.call<SubmitJobResult>('jobs.submit', params));
  }

  lookup(marker: string): Promise<JobView> {
    const params = { id: `job-${marker}`, keyId: 'laboratories-1' };
    return this.settle(this.cell.call<JobView>('jobs.lookup', params));
  }

  cancel(marker: string): Promise<CancelResult> {
    const params = { ids: [`job-${marker}`], keyId: 'laboratories-1' };
    return this.settle(this.cell.call<CancelResult>('jobs.cancel', params));
  }

  request(marker: string, sleepMs: number): Promise<CallRecord> {
    return this.cell.request(this.cell.instanceIds[0]!, {
      marker,
      sleepMs,
      keyId: 'laboratories-1',
      noRepeat: false,
      deadlineMs: REQUEST_DEADLINE_MS,
    });
  }

  /** Returns the endpoints on which the work with a marker was started, in order. */
  listStarts(marker: string): string[] {
    return this.cell.events
      .filter(({ type, marker: own }) => type === 'start' && own?.split('/')[0] === marker)
      .map(({ endpoint }) => endpoint);
  }

  /** Returns the markers of the work that an endpoint runs. */
  listRunning(endpoint: string): string[] {
    const running = new Map<string, string>();
    for (const event of this.cell.events) {
      if (event.endpoint !== endpoint) continue;
      if (event.type === 'end') running.delete(event.attempt);
      else running.set(event.attempt, event.marker!.split('/')[0]!);
    }
    return [...running.values()];
  }

  /** Crashes an endpoint. */
  crash(id: string): void {
    this.cell.killEndpoint(id);
    if (this.absenceMs === undefined) this.cell.startEndpoint(id);
    else setTimeout(() => this.cell.startEndpoint(id), this.absenceMs);
  }

  /** Waits for a call while the clock advances. */
  async settle<Result>(call: Promise<Result>): Promise<Result> {
    let isSettled = false;
    const finish = (): void => {
      isSettled = true;
    };
    call.then(finish, finish);
    while (!isSettled) await this.clock.tickAsync(10);
    return call;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.cell.close();
    this.clock.uninstall();
  }

  private handleStart({ endpoint, marker }: HistoryEvent): void {
    if (!marker?.startsWith(DEADLY_PREFIX)) return;
    const running = this.cell.endpoints.get(`http://${endpoint}`);
    setTimeout(() => {
      // Another deadly attempt may have crashed this process of the endpoint already.
      if (this.cell.endpoints.get(`http://${endpoint}`) === running) this.crash(endpoint);
    }, CRASH_DELAY_MS);
  }
}
