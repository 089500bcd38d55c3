import type { ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { StepScheduler } from './stepScheduler.js';

/** Time after which a waiting step is worth a line, and between two lines for one step. */
const REPORT_AFTER_MS = 2000;

/** Lines written at most at a time. */
const MAX_LINES = 5;

/** Logs why steps wait, a bounded number of lines at a time. */
export class WaitReport {
  private readonly context: SessionContext;
  private readonly ready: ReadySteps;
  private readonly scheduler: StepScheduler;
  private readonly since = new Map<string, number>();

  constructor(context: SessionContext, ready: ReadySteps, scheduler: StepScheduler) {
    this.context = context;
    this.ready = ready;
    this.scheduler = scheduler;
  }

  /** Writes the lines that are due. */
  write(): void {
    const config = this.context.readConfig();
    if (!config) return;
    const nowMs = performance.now();
    for (const name of this.since.keys()) if (!this.ready.has(name)) this.since.delete(name);
    let lines = 0;
    for (const step of this.ready.list()) {
      const sinceMs = this.since.get(step.name) ?? nowMs;
      this.since.set(step.name, sinceMs);
      if (lines >= MAX_LINES || nowMs - sinceMs < REPORT_AFTER_MS) continue;
      lines += 1;
      this.since.set(step.name, nowMs);
      this.context.logger.info('step waits', {
        step: step.name,
        tasks: step.waiting.length,
        configVersion: config.version,
        ...this.scheduler.explain(step, config),
      });
    }
  }
}
