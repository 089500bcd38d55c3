import type { ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { StepScheduler } from './stepScheduler.js';

/** Waiting time until the first log line for a step, and between two lines for the same step. */
const LOG_INTERVAL_MS = 2000;

/** Maximum number of lines per call. */
const MAX_LINES = 5;

/** Logs why steps wait, with a bounded number of lines per call. */
export class WaitLogger {
  private readonly context: SessionContext;
  private readonly ready: ReadySteps;
  private readonly scheduler: StepScheduler;
  /** Monotonic time since which a step has waited without a log line. */
  private readonly sinceMs = new Map<string, number>();

  constructor(context: SessionContext, ready: ReadySteps, scheduler: StepScheduler) {
    this.context = context;
    this.ready = ready;
    this.scheduler = scheduler;
  }

  /** Logs the waiting steps whose line is due. */
  logWaitingSteps(): void {
    const config = this.context.readConfig();
    if (!config) return;
    const nowMs = performance.now();
    for (const name of this.sinceMs.keys()) if (!this.ready.has(name)) this.sinceMs.delete(name);
    let lines = 0;
    for (const step of this.ready.list()) {
      const startMs = this.sinceMs.get(step.name) ?? nowMs;
      this.sinceMs.set(step.name, startMs);
      if (lines >= MAX_LINES || nowMs - startMs < LOG_INTERVAL_MS) continue;
      lines += 1;
      this.sinceMs.set(step.name, nowMs);
      this.context.logger.info('step is waiting', {
        step: step.name,
        tasks: step.waiting.length,
        configVersion: config.version,
        ...this.scheduler.explain(step, config),
      });
    }
  }
}
