import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { AttemptRecord, FinishedAttempt } from '@lagoongap/state/records.js';

import type { CommitQueue } from './commitQueue.js';

/** Told of each attempt that has ended durably. */
export type ClosedListener = (attempt: AttemptRecord, finished: FinishedAttempt) => void;

/** Options of {@link AttemptCloser}. */
export interface AttemptCloserOptions {
  state: ClusterState;
  scheduler: Scheduler;
  commits: CommitQueue;
  onClosed: ClosedListener;
}

/** Commits the end of attempts, then frees what they had reserved. */
export class AttemptCloser {
  private readonly opts: AttemptCloserOptions;

  constructor(opts: AttemptCloserOptions) {
    this.opts = opts;
  }

  /** Resolves when the end of all attempts is committed; unknown ones are skipped. */
  async close(finished: FinishedAttempt[]): Promise<void> {
    const { state, commits } = this.opts;
    const known = finished.filter(({ attempt }) => state.attempts.get(attempt) !== undefined);
    if (known.length === 0) return;
    const records = known.map(({ attempt }) => state.attempts.get(attempt)!);
    const removed = await commits.commit<boolean[]>({
      type: 'finish-attempts',
      finished: known,
      wallTime: Date.now(),
    });
    known.forEach((entry, i) => {
      // Two reports of the same end may be committed in a row; only the first one counts.
      if (removed[i]) this.release(records[i]!, entry);
    });
  }

  private release(attempt: AttemptRecord, finished: FinishedAttempt): void {
    this.opts.scheduler.release(attempt.id, finished.outcome, performance.now());
    this.opts.onClosed(attempt, finished);
  }
}
