import { RefusalError } from '@lagoongap/model/refusalError.js';

import { createCancellationTable, type EarlyCancellation } from './earlyCancellation.js';
import { ExpiryQueue } from './expiryQueue.js';
import type { SessionContext } from './sessionContext.js';

/** Maximum number of cancellations that are removed at a time. */
const MAX_REMOVED = 2000;

/** Time after which a refused caller may repeat its cancellation; some have to expire first. */
const RETRY_AFTER_MS = 5000;

/**
 * Records cancellations of jobs that are not known. A submission may be on its way for as long as
 * a process or connection that carries it is suspended, so they are kept as long as ended jobs.
 */
export class EarlyCancellations {
  private readonly context: SessionContext;
  private readonly kept: ExpiryQueue;
  private readonly committing = createCancellationTable();

  constructor(context: SessionContext) {
    this.context = context;
    this.kept = new ExpiryQueue(context.timing.retentionMs);
    // The ages of those that a former leader has recorded are not known.
    for (const key of context.state.cancellations.keys()) this.kept.add(key);
  }

  /**
   * Commits the cancellation of a job that is not known, unless it is recorded already. The job may
   * be known by the time of the commit, and is then cancelled like any other.
   *
   * Throws an `over-limit` refusal if there is no room for it; nothing was recorded then.
   */
  async record(cancellation: EarlyCancellation): Promise<void> {
    const { propose, logger } = this.context;
    const key = this.committing.keyOf(cancellation);
    if (this.kept.renew(key)) return;
    if (!this.committing.has(cancellation)) this.check(cancellation);
    this.committing.add(cancellation);
    try {
      await propose({ type: 'cancel', ...cancellation });
    } finally {
      this.committing.delete(key);
    }
    if (!this.context.state.cancellations.has(cancellation)) return;
    if (!this.kept.renew(key)) this.kept.add(key);
    const { id, queue, organisation } = cancellation;
    logger.info('cancellation of an unknown job recorded', { job: id, queue, organisation });
  }

  /** Removes cancellations whose retention time has passed. */
  removeExpired(): void {
    const { propose, logger, meter, state } = this.context;
    meter.setEarlyCancellations(state.cancellations.size);
    const cancellations = this.kept.takeExpired(MAX_REMOVED);
    if (cancellations.length === 0) return;
    propose({ type: 'forget', ids: [], cancellations }).catch((err: Error) => {
      const count = cancellations.length;
      logger.warn('failed to remove cancellations', { count, err: err.message });
    });
  }

  private check(cancellation: EarlyCancellation): void {
    const { limits, state } = this.context;
    const { organisation } = cancellation;
    let total = this.committing.estimateBytes(cancellation);
    let own = total;
    for (const table of [state.cancellations, this.committing]) {
      total += table.totalBytes;
      own += table.bytesOf(organisation);
    }
    if (own > limits.maxOrganisationCancellationBytes) {
      this.refuse('the organisation has cancelled too many unknown jobs');
    }
    if (total > limits.maxCancellationBytes) this.refuse('too many unknown jobs are cancelled');
  }

  private refuse(message: string): never {
    const retryAfterMs = RETRY_AFTER_MS;
    throw new RefusalError({ type: 'over-limit', runState: 'not-run', message, retryAfterMs });
  }
}
