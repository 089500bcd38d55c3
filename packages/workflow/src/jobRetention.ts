import type { SessionContext } from './sessionContext.js';

/** Maximum number of jobs that are removed at a time. */
const MAX_REMOVED = 500;

/** Removes ended jobs after the retention time. */
export class JobRetention {
  private readonly context: SessionContext;
  /** Monotonic end times in ascending order. */
  private readonly endTimesMs = new Map<string, number>();

  constructor(context: SessionContext) {
    this.context = context;
  }

  /** Records the jobs that ended before this leadership, whose ends have been reported. */
  recordFormerEnds(): void {
    for (const { id, status } of this.context.state.jobs.values()) {
      if (status !== 'open') this.recordEnd(id);
    }
  }

  /** Records the end of a job; returns whether it was not recorded before. */
  recordEnd(id: string): boolean {
    if (this.endTimesMs.has(id)) return false;
    this.endTimesMs.set(id, performance.now());
    return true;
  }

  /** Removes jobs whose retention time has passed, a bounded number at a time; returns their ids. */
  removeExpired(): string[] {
    const { timing, propose, logger } = this.context;
    const nowMs = performance.now();
    const ids: string[] = [];
    for (const [id, endMs] of this.endTimesMs) {
      if (nowMs - endMs <= timing.retentionMs || ids.length >= MAX_REMOVED) break;
      ids.push(id);
    }
    if (ids.length === 0) return ids;
    for (const id of ids) this.endTimesMs.delete(id);
    propose({ type: 'forget', ids }).catch((err: Error) => {
      logger.warn('failed to remove ended jobs', { count: ids.length, err: err.message });
    });
    return ids;
  }
}
