import type { EndpointDirectory } from './endpointDirectory.js';
import { stepName, taskName, type TaskRef } from './jobSpec.js';
import type { ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { EndedRun } from './workflowCommand.js';
import type { RunRecord } from './workflowRecords.js';

/** Time without a run from which the oldest outage is logged, and between two of its lines. */
const LOG_INTERVAL_MS = 2000;

/** A task of a service without a confirmed run. */
interface Outage {
  task: TaskRef;
  /** Monotonic time at which its last run ended, or at which it was first found without one. */
  sinceMs: number;
}

/** Tracks the tasks of services that have no confirmed run, and for how long. */
export class ServiceOutages {
  private readonly context: SessionContext;
  private readonly ready: ReadySteps;
  private readonly directory: EndpointDirectory;
  private readonly outages = new Map<string, Outage>();
  private nextLogMs = -Infinity;

  constructor(context: SessionContext, ready: ReadySteps, directory: EndpointDirectory) {
    this.context = context;
    this.ready = ready;
    this.directory = directory;
  }

  /** Records ends of runs; the outage of a service task begins with the end of its last run. */
  recordEnds(ends: readonly EndedRun[]): void {
    const { state } = this.context;
    for (const { task } of ends) {
      if (state.findSpec(task)?.isService && state.findTask(task)?.runs.length === 0) {
        this.begin(task);
      }
    }
  }

  /** Returns the monotonic time since which a task has had no run; the present if unknown. */
  sinceMsOf(task: TaskRef): number {
    return this.outages.get(taskName(task))?.sinceMs ?? performance.now();
  }

  /** Updates the outages and their metrics, and logs the longest one; called periodically. */
  update(): void {
    for (const { job, occurrence, step, spec, waiting } of this.ready.list()) {
      if (!spec.isService) continue;
      for (const index of waiting) this.begin({ jobId: job.id, occurrence, step, index });
    }
    let longest: Outage | undefined;
    for (const [name, outage] of this.outages) {
      if (this.hasEnded(outage)) this.outages.delete(name);
      else if (!longest || outage.sinceMs < longest.sinceMs) longest = outage;
    }
    const nowMs = performance.now();
    const longestMs = longest ? nowMs - longest.sinceMs : 0;
    this.context.meter.setServiceOutages(this.outages.size, longestMs);
    if (longest && longestMs >= LOG_INTERVAL_MS && nowMs >= this.nextLogMs) {
      this.nextLogMs = nowMs + LOG_INTERVAL_MS;
      this.log(longest, longestMs);
    }
  }

  private begin(task: TaskRef): void {
    const name = taskName(task);
    if (!this.outages.has(name)) this.outages.set(name, { task, sinceMs: performance.now() });
  }

  private hasEnded({ task }: Outage): boolean {
    const { state } = this.context;
    if (state.jobs.get(task.jobId)?.status !== 'open') return true;
    const runs = state.findTask(task)?.runs ?? [];
    return runs.some((run) => this.phaseOf(task, run) === 'running');
  }

  private phaseOf(task: TaskRef, { run, endpoint }: RunRecord): string {
    const agent = this.directory.find(endpoint);
    return agent?.runs.get(`${taskName(task)}:${run}`)?.phase ?? 'not ordered';
  }

  private log({ task }: Outage, outageMs: number): void {
    const { context, ready } = this;
    const record = context.state.findTask(task);
    const run = record?.runs.at(-1);
    const isWaiting = ready.has(stepName(task.jobId, task.occurrence, task.step));
    context.logger.warn('service task has no run', {
      task: taskName(task),
      outageMs: Math.round(outageMs),
      lastRun: record?.lastRun ?? 0,
      endpoint: run?.endpoint,
      phase: run ? this.phaseOf(task, run) : (isWaiting && 'waiting') || 'planned',
      tasks: this.outages.size,
    });
  }
}
