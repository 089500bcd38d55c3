import type { ReadyStep, ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { StepScheduler } from './stepScheduler.js';

/** Waiting time until the first log line for a step, and between two lines for the same step. */
const LOG_INTERVAL_MS = 2000;

/** Maximum number of lines per call. */
const MAX_LINES = 5;

interface WaitRecord {
  /** Monotonic time of the first call that found the step waiting. */
  sinceMs: number;
  /** Monotonic time from which the next line is due. */
  dueMs: number;
}

/** Logs why steps wait, services and the longest waits first, with a bounded number of lines. */
export class WaitLogger {
  private readonly context: SessionContext;
  private readonly ready: ReadySteps;
  private readonly scheduler: StepScheduler;
  private readonly records = new Map<string, WaitRecord>();

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
    for (const name of this.records.keys()) if (!this.ready.has(name)) this.records.delete(name);
    for (const { step, record } of this.listDue(nowMs).slice(0, MAX_LINES)) {
      record.dueMs = nowMs + LOG_INTERVAL_MS;
      this.context.logger.info('step is waiting', {
        step: step.name,
        tasks: step.waiting.length,
        isService: step.spec.isService,
        waitedMs: Math.round(nowMs - record.sinceMs),
        waitingSteps: this.ready.size,
        configVersion: config.version,
        ...this.scheduler.explain(step, config),
      });
    }
  }

  private listDue(nowMs: number): { step: ReadyStep; record: WaitRecord }[] {
    const due: { step: ReadyStep; record: WaitRecord }[] = [];
    for (const step of this.ready.list()) {
      let record = this.records.get(step.name);
      if (!record) {
        record = { sinceMs: nowMs, dueMs: nowMs + LOG_INTERVAL_MS };
        this.records.set(step.name, record);
      }
      if (nowMs >= record.dueMs) due.push({ step, record });
    }
    return due.sort(
      (a, b) =>
        Number(b.step.spec.isService) - Number(a.step.spec.isService) ||
        a.record.sinceMs - b.record.sinceMs,
    );
  }
}
