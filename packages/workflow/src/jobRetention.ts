import { ExpiryQueue } from './expiryQueue.js';
import type { SessionContext } from './sessionContext.js';

/** Maximum number of jobs that are removed at a time. */
const MAX_REMOVED = 500;

/** Removes ended jobs after the retention time. */
export class JobRetention {
  private readonly context: SessionContext;
  private readonly ended: ExpiryQueue;

  constructor(context: SessionContext) {
    this.context = context;
    this.ended = new ExpiryQueue(context.timing.retentionMs);
  }

  /** Records the jobs that ended before this leadership, whose ends have been reported. */
  recordFormerEnds(): void {
    for (const { id, status } of this.context.state.jobs.values()) {
      if (status !== 'open') this.recordEnd(id);
    }
  }

  /** Records the end of a job; returns whether it was not recorded before. */
  recordEnd(id: string): boolean {
    return this.ended.add(id);
  }

  /** Removes jobs whose retention time has passed, a bounded number at a time; returns their ids. */
  removeExpired(): string[] {
    const { propose, logger } = this.context;
    const ids = this.ended.takeExpired(MAX_REMOVED);
    if (ids.length === 0) return ids;
    propose({ type: 'forget', ids }).catch((err: Error) => {
      logger.warn('failed to remove ended jobs', { count: ids.length, err: err.message });
    });
    return ids;
  }
}
