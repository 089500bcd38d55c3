import type { StartOrder } from '@lagoongap/workflow/endpointDriver.js';

import type { WorkflowWorld } from './workflowWorld.js';

/** How an endpoint comes back after a crash. */
export interface CrashOptions {
  /** Time until the next incarnation. */
  returnMs: number;
  /** The next incarnation registers under the same id. */
  keepsId: boolean;
}

/** Time from the start of a task to the crash that it causes. */
const DEFAULT_CRASH_DELAY_MS = 10;

/** Time until the other members of a gang notice that one is gone. */
const GANG_BREAK_DELAY_MS = 1;

/** Crashes the workers of a {@link WorkflowWorld}, at once or when they start certain tasks. */
export class CrashingFleet {
  readonly opts: CrashOptions = { returnMs: 3000, keepsId: false };
  /** Payloads of gang jobs. */
  readonly gangs = new Set<string>();
  /** Number of starts of each deadly task. */
  readonly starts = new Map<string, number>();
  /** Number of workers that each deadly task has crashed. */
  readonly crashCounts = new Map<string, number>();
  /** Workers that are down. */
  readonly down = new Set<string>();
  maxDown = 0;
  private readonly world: WorkflowWorld;
  private readonly crashDelaysMs = new Map<string, number>();
  /** Delays of the crashes that single runs meet by chance, by the key of the run. */
  private readonly chanceDelaysMs = new Map<string, number>();

  constructor(world: WorkflowWorld) {
    this.world = world;
    world.driver.onStarted = (worker, order) => this.handleStart(worker, order);
  }

  /** Makes a task crash every worker that starts it. */
  addDeadlyTask(task: string, delayMs = DEFAULT_CRASH_DELAY_MS): void {
    this.crashDelaysMs.set(task, delayMs);
    this.starts.set(task, 0);
  }

  /** Lets the worker of one run crash, whatever runs there. */
  addChanceCrash(task: string, run: number, delayMs: number): void {
    this.chanceDelaysMs.set(`${task}:${run}`, delayMs);
  }

  /** Crashes a worker, which comes back as another incarnation. */
  crash(id: string): void {
    const record = this.world.records.get(id);
    if (!record) return;
    const worker = this.world.driver.worker(id);
    const payloads = [...worker.runs.values()].map(({ order }) => order.payload);
    worker.crash();
    for (const payload of payloads.filter((it) => this.gangs.has(it))) {
      setTimeout(() => this.breakGang(payload), GANG_BREAK_DELAY_MS);
    }
    this.down.add(record.instance);
    this.maxDown = Math.max(this.maxDown, this.down.size);
    setTimeout(() => {
      this.down.delete(record.instance);
      const nextId = this.opts.keepsId ? id : `${id}'`;
      const next = this.world.driver.worker(nextId);
      next.bornMs = worker.bornMs;
      next.durationMs = worker.durationMs;
      next.behaviour = 'sound';
      this.world.records.delete(id);
      this.world.records.set(nextId, { ...record, id: nextId });
    }, this.opts.returnMs);
  }

  /** Returns the number of starts of all deadly tasks of a job. */
  countStarts(job: string): number {
    let count = 0;
    for (const [task, starts] of this.starts) if (task.startsWith(`${job}.`)) count += starts;
    return count;
  }

  private breakGang(payload: string): void {
    for (const worker of this.world.driver.workers.values()) worker.breakGang(payload);
  }

  private handleStart(id: string, order: StartOrder): void {
    const { task, run } = order;
    const chanceMs = this.chanceDelaysMs.get(`${task}:${run}`);
    if (chanceMs !== undefined) setTimeout(() => this.crash(id), chanceMs);
    const delayMs = this.crashDelaysMs.get(task);
    if (delayMs === undefined) return;
    this.starts.set(task, this.starts.get(task)! + 1);
    const { runs } = this.world.driver.worker(id);
    setTimeout(() => {
      if (![...runs.values()].some((active) => active.order === order)) return;
      this.crashCounts.set(task, (this.crashCounts.get(task) ?? 0) + 1);
      this.crash(id);
    }, delayMs);
  }
}
