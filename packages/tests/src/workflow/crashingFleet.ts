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

/** Crashes the workers of a {@link WorkflowWorld}, at once or when they start certain tasks. */
export class CrashingFleet {
  readonly opts: CrashOptions = { returnMs: 3000, keepsId: false };
  /** Payloads of gang jobs. */
  readonly gangs = new Set<string>();
  /** Number of starts of each deadly task. */
  readonly starts = new Map<string, number>();
  /** Workers that are down. */
  readonly down = new Set<string>();
  maxDown = 0;
  private readonly world: WorkflowWorld;
  private readonly crashDelaysMs = new Map<string, number>();

  constructor(world: WorkflowWorld) {
    this.world = world;
    world.driver.onStarted = (worker, { task }) => this.handleStart(worker, task);
  }

  /** Makes a task crash every worker that starts it. */
  addDeadlyTask(task: string, delayMs = DEFAULT_CRASH_DELAY_MS): void {
    this.crashDelaysMs.set(task, delayMs);
    this.starts.set(task, 0);
  }

  /** Crashes a worker, which comes back as another incarnation. */
  crash(id: string): void {
    const record = this.world.records.get(id);
    if (!record) return;
    const worker = this.world.driver.worker(id);
    const payloads = [...worker.runs.values()].map(({ order }) => order.payload);
    worker.crash();
    for (const payload of payloads.filter((it) => this.gangs.has(it))) {
      for (const other of this.world.driver.workers.values()) other.breakGang(payload);
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

  private handleStart(worker: string, task: string): void {
    const delayMs = this.crashDelaysMs.get(task);
    if (delayMs === undefined) return;
    this.starts.set(task, this.starts.get(task)! + 1);
    setTimeout(() => this.crash(worker), delayMs);
  }
}
