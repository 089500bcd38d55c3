import type { EndpointDirectory } from './endpointDirectory.js';
import { describeFailure } from './jobFailure.js';
import type { JobRetention } from './jobRetention.js';
import { stepName } from './jobSpec.js';
import { listTasks } from './readySteps.js';
import { runKey } from './runDispatcher.js';
import type { SessionContext } from './sessionContext.js';
import type { JobRecord } from './workflowRecords.js';

/** Options of a {@link JobCloser}. */
export interface JobCloserOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  retention: JobRetention;
  /** Called for each step that has ended, to discard what is kept for it. */
  onStepEnded: (name: string) => void;
}

/** Stops what is left of jobs and occurrences that have ended. */
export class JobCloser {
  private readonly opts: JobCloserOptions;

  constructor(opts: JobCloserOptions) {
    this.opts = opts;
  }

  /** Stops the remaining runs of a job that has ended. */
  close(job: JobRecord): void {
    const { context, directory, retention, onStepEnded } = this.opts;
    if (retention.recordEnd(job.id)) {
      const reason = describeFailure(job);
      context.logger.info('job ended', { job: job.id, status: job.status, reason });
      context.meter.countJobEnded(job.status, Date.now() - job.acceptedMs);
    }
    for (const { occurrence, step } of job.steps.values()) {
      onStepEnded(stepName(job.id, occurrence, step));
    }
    // Steps of which nothing has started have no record.
    this.closeOccurrence(job, 0);
    for (const { task, record } of listTasks(job)) {
      for (const { run, endpoint } of record.runs) directory.stopRun(endpoint, runKey(task, run));
    }
  }

  /** Discards what is kept for the steps of an occurrence that has ended. */
  closeOccurrence(job: JobRecord, occurrence: number): void {
    for (const step of job.spec.steps.keys()) {
      this.opts.onStepEnded(stepName(job.id, occurrence, step));
    }
  }
}
