import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { AttemptRecord, FinishedAttempt } from '@lagoongap/state/records.js';

import type { CommitQueue } from './commitQueue.js';
import type { CrashDetector } from './crashDetector.js';

/** Called for each attempt whose end has been committed. */
export type ClosedListener = (attempt: AttemptRecord, finished: FinishedAttempt) => void;

/** Options of {@link AttemptCloser}. */
export interface AttemptCloserOptions {
  state: ClusterState;
  scheduler: Scheduler;
  commits: CommitQueue;
  crashes: CrashDetector;
  onClosed: ClosedListener;
}

/** Commits the end of attempts, then releases their reserved resources. */
export class AttemptCloser {
  private readonly opts: AttemptCloserOptions;

  constructor(opts: AttemptCloserOptions) {
    this.opts = opts;
  }

  /** Resolves when the end of all attempts is committed; unknown attempts are skipped. */
  async close(finished: FinishedAttempt[]): Promise<void> {
    const { state, commits, crashes } = this.opts;
    const known = finished
      .filter(({ attempt }) => state.attempts.get(attempt) !== undefined)
      .map((entry) => crashes.describeEnd(entry));
    if (known.length === 0) return;
    const records = known.map(({ attempt }) => state.attempts.get(attempt)!);
    const removed = await commits.commit<boolean[]>({
      type: 'finish-attempts',
      finished: known,
      wallTime: Date.now(),
    });
    known.forEach((entry, i) => {
      // The end of an attempt may be committed twice; only the first commit removes the record.
      if (removed[i]) this.release(records[i]!, entry);
    });
  }

  private release(attempt: AttemptRecord, finished: FinishedAttempt): void {
    this.opts.scheduler.release(attempt.id, finished.outcome, performance.now());
    this.opts.onClosed(attempt, finished);
  }
}
