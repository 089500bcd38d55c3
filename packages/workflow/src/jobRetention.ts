import type { SessionContext } from './sessionContext.js';

/** Removes ended jobs after the retention time. */
export class JobRetention {
  private readonly context: SessionContext;
  private readonly endTimesMs = new Map<string, number>();

  constructor(context: SessionContext) {
    this.context = context;
  }

  /** Records the end of a job; returns whether it was not recorded before. */
  recordEnd(id: string): boolean {
    if (this.endTimesMs.has(id)) return false;
    this.endTimesMs.set(id, performance.now());
    return true;
  }

  /** Removes the jobs whose retention time has passed, and returns their ids. */
  removeExpired(): string[] {
    const { timing, propose, logger } = this.context;
    const nowMs = performance.now();
    const ids: string[] = [];
    for (const [id, endMs] of this.endTimesMs) {
      if (nowMs - endMs > timing.retentionMs) ids.push(id);
    }
    if (ids.length === 0) return ids;
    for (const id of ids) this.endTimesMs.delete(id);
    propose({ type: 'forget', ids }).catch((err: Error) => {
      logger.warn('failed to remove ended jobs', { count: ids.length, err: err.message });
    });
    return ids;
  }
}
