import { isConvicted } from './crashRecord.js';
import { taskName } from './jobSpec.js';
import type { JobRecord } from './workflowRecords.js';

/** Returns why a job has failed; undefined if it has not. */
export function describeFailure(job: JobRecord): string | undefined {
  if (job.status !== 'failed') return undefined;
  for (const { occurrence, step, tasks, gangCrashes } of job.steps.values()) {
    const histories = gangCrashes ? [gangCrashes] : tasks.map(({ crashes }) => crashes);
    const index = histories.findIndex((history) => history && isConvicted(history));
    const history = histories[index];
    if (history) {
      const name = taskName({ jobId: job.id, occurrence, step, index });
      return `${history.count} endpoints crashed under task ${name}`;
    }
  }
  return `a task failed ${job.maxAttempts} times`;
}
