import type { CellConfig, QueuePolicy } from './cellConfig.js';
import { JobAdmission } from './jobAdmission.js';
import { EarlyCancellations } from './earlyCancellations.js';
import type { JobResponse, JobCall, JobState } from './jobCalls.js';
import type { JobSpec } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';
import type { SubmitCommand } from './workflowCommand.js';
import type { JobRecord } from './workflowRecords.js';

/** Maximum length of the id of a job; ids of the platform have 16 characters. */
const MAX_ID_LENGTH = 256;

/** Receives changes of jobs that result from calls. */
export interface JobServiceListener {
  /** Called before the submission is committed, which may still fail. */
  onSubmitting(job: SubmitCommand): void;
  onAccepted(job: JobRecord): void;
  onClosed(job: JobRecord): void;
}

/** Finds the queue whose path prefix is the longest match. */
export function findQueue(config: CellConfig, host: string, path: string): QueuePolicy | undefined {
  let best: QueuePolicy | undefined;
  for (const queue of config.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (!best || queue.pathPrefix.length > best.pathPrefix.length) best = queue;
  }
  return best;
}

function stateOf(job: JobRecord): JobState {
  if (job.status !== 'open') return job.status;
  return job.hasStarted ? 'running' : 'queued';
}

/** Handles the calls of callers on the leader, so that responses are never stale. */
export class JobService {
  private readonly context: SessionContext;
  private readonly listener: JobServiceListener;
  private readonly admission: JobAdmission;
  readonly cancellations: EarlyCancellations;

  constructor(context: SessionContext, listener: JobServiceListener) {
    this.context = context;
    this.cancellations = new EarlyCancellations(context);
    this.listener = listener;
    this.admission = new JobAdmission(context.state, context.limits);
  }

  /**
   * Resolves once everything that the response confirms is durable; rejects with an `over-limit`
   * refusal if there is no room for a job or for the cancellation of an unknown one.
   */
  async handle(call: JobCall): Promise<JobResponse> {
    const config = this.context.readConfig();
    if (!config) return { type: 'not-configured' };
    const queue = findQueue(config, call.host, call.path);
    if (!queue) return { type: 'no-queue' };
    const organisation = this.authenticate(config, call.key);
    if (organisation === undefined && !queue.isOpen) return { type: 'unauthenticated' };
    const id = call.path.slice(queue.pathPrefix.length);
    if (id === '') return this.readQueue(call, queue);
    if (call.operation === 'submit' && id.length > MAX_ID_LENGTH) {
      return { type: 'invalid', reason: `the id has more than ${MAX_ID_LENGTH} characters` };
    }
    if (call.operation === 'submit') return this.submit(id, queue, organisation ?? '', call.spec);
    if (call.operation === 'cancel') return this.cancel(id, queue, organisation ?? '');
    const job = this.findJob(id, queue);
    return job ? { type: 'state', state: stateOf(job) } : { type: 'no-job' };
  }

  private findJob(id: string, queue: QueuePolicy): JobRecord | undefined {
    const job = this.context.state.jobs.get(id);
    return job?.queue === queue.name ? job : undefined;
  }

  private authenticate(config: CellConfig, key: string | undefined): string | undefined {
    if (key === undefined) return undefined;
    return config.organisations.find(({ keys }) => keys.includes(key))?.name;
  }

  private readQueue(call: JobCall, queue: QueuePolicy): JobResponse {
    if (call.operation !== 'read') return { type: 'invalid', reason: 'the path has no job id' };
    let waitingCount = 0;
    for (const job of this.context.state.jobs.values()) {
      if (job.queue === queue.name && job.status === 'open' && !job.hasStarted) waitingCount += 1;
    }
    return { type: 'queue', waitingCount };
  }

  private async submit(
    id: string,
    queue: QueuePolicy,
    organisation: string,
    spec: JobSpec,
  ): Promise<JobResponse> {
    const { state, propose, logger, meter } = this.context;
    if (state.jobs.has(id)) return { type: 'accepted' };
    const command: SubmitCommand = {
      type: 'submit',
      id,
      queue: queue.name,
      organisation,
      maxAttempts: queue.maxAttempts,
      acceptedMs: Date.now(),
      spec,
    };
    const admitted = this.admission.admit(command);
    let isLate: unknown;
    try {
      if (!state.cancellations.has(command)) this.listener.onSubmitting(command);
      isLate = await propose(command);
    } finally {
      admitted[Symbol.dispose]();
    }
    const job = state.jobs.get(id);
    logger.info('job accepted', { job: id, queue: queue.name, organisation });
    if (isLate) {
      logger.info('job was cancelled before its submission arrived', { job: id });
      meter.countLateSubmission();
    }
    if (job) this.listener.onAccepted(job);
    return { type: 'accepted' };
  }

  private async cancel(id: string, queue: QueuePolicy, organisation: string): Promise<JobResponse> {
    const { propose, logger } = this.context;
    const known = this.findJob(id, queue);
    if (known && known.status !== 'open') return { type: 'cancelled' };
    const command = { id, queue: queue.name, organisation };
    if (known) await propose({ type: 'cancel', ...command });
    // No job with such an id can be on its way, as it would be refused.
    else if (id.length > MAX_ID_LENGTH) return { type: 'no-job' };
    else await this.cancellations.record(command);
    // The submission of an unknown job may have been committed in the meantime.
    const job = this.findJob(id, queue);
    if (!job) return { type: 'no-job' };
    logger.info('job cancelled', { job: id, status: job.status });
    this.listener.onClosed(job);
    return { type: 'cancelled' };
  }
}
