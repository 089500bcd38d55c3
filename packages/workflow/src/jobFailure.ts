import { isConvicted } from './crashRecord.js';
import { taskName } from './jobSpec.js';
import type { JobRecord } from './workflowRecords.js';

/** Returns why a job has failed; undefined if it has not. */
export function describeFailure(job: JobRecord): string | undefined {
  if (job.status !== 'failed') return undefined;
  for (const { occurrence, step, tasks } of job.steps.values()) {
    const index = tasks.findIndex(({ crashes }) => crashes && isConvicted(crashes));
    const crashes = tasks[index]?.crashes;
    if (crashes) {
      const name = taskName({ jobId: job.id, occurrence, step, index });
      return `${crashes.count} endpoints crashed under task ${name}`;
    }
  }
  return `a task failed ${job.maxAttempts} times`;
}
