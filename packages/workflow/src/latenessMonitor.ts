import type { CellConfig } from './cellConfig.js';
import type { DurationForecast } from './durationForecast.js';
import { assessSlack } from './jobSlack.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';

/** Maximum number of log lines per call. */
const MAX_LINES = 5;

/** Predicts which waiting jobs will be late, logs each of them once, and counts them by priority. */
export class LatenessMonitor {
  private readonly context: SessionContext;
  private readonly ready: ReadySteps;
  private readonly durations: DurationForecast;
  private logged = new Set<string>();

  constructor(context: SessionContext, ready: ReadySteps, durations: DurationForecast) {
    this.context = context;
    this.ready = ready;
    this.durations = durations;
  }

  /** Updates the metrics; called periodically. */
  update(config: CellConfig): void {
    const { meter, state } = this.context;
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    const late = new Map(config.queues.map(({ priority }) => [priority, new Set<string>()]));
    const logged = new Set<string>();
    let lines = 0;
    for (const step of this.ready.list()) {
      const queue = queues.get(step.job.queue);
      if (!queue || step.spec.isService) continue;
      const assessment = assessSlack(step, queue, Date.now(), this.durations.reader);
      if (assessment.slackMs >= 0) continue;
      late.get(queue.priority)!.add(`${step.job.id}.${step.occurrence}`);
      if (this.logged.has(step.name)) logged.add(step.name);
      else if (lines < MAX_LINES) {
        lines += 1;
        logged.add(step.name);
        this.logLate(step, assessment);
      }
    }
    this.logged = logged;
    meter.setExpectedLateJobs(new Map([...late].map(([priority, { size }]) => [priority, size])));
    meter.setDurationClasses(state.durations.size);
  }

  private logLate(step: ReadyStep, { slackMs, targetMs, pathMs }: ReturnType<typeof assessSlack>) {
    const { job, name, spec } = step;
    this.context.logger.info('job is expected to be late', {
      job: job.id,
      step: name,
      queue: job.queue,
      organisation: job.organisation,
      slackMs: Math.round(slackMs),
      targetMs: Math.round(targetMs),
      remainingMs: Math.round(pathMs),
      estimateMs: Math.round(spec.estimateMs),
      expectedMs: Math.round(this.durations.reader(step, step.step)),
    });
  }
}
