import type { SessionContext } from './sessionContext.js';

/** Forgets jobs some time after they have ended. */
export class JobRetention {
  private readonly context: SessionContext;
  private readonly endedSince = new Map<string, number>();

  constructor(context: SessionContext) {
    this.context = context;
  }

  /** Notes that a job has ended; returns whether that was new. */
  note(id: string): boolean {
    if (this.endedSince.has(id)) return false;
    this.endedSince.set(id, performance.now());
    return true;
  }

  /** Forgets the jobs whose time has come, and returns their ids. */
  forgetDue(): string[] {
    const { timing, propose, logger } = this.context;
    const nowMs = performance.now();
    const ids: string[] = [];
    for (const [id, sinceMs] of this.endedSince) {
      if (nowMs - sinceMs > timing.retentionMs) ids.push(id);
    }
    if (ids.length === 0) return ids;
    for (const id of ids) this.endedSince.delete(id);
    propose({ type: 'forget', ids }).catch((err: Error) => {
      logger.warn('ended jobs are not forgotten', { count: ids.length, err: err.message });
    });
    return ids;
  }
}
