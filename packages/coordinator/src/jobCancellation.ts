import { isId } from '@lagoongap/model/idGenerator.js';
import type { CancelParams, CancelResult } from '@lagoongap/model/messages.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { CancellationScope } from '@lagoongap/state/commands.js';
import { ownerOf } from '@lagoongap/state/earlyCancellations.js';
import type { JobRecord } from '@lagoongap/state/records.js';

import type { CommitQueue } from './commitQueue.js';
import { isVisible, readCancellationScope } from './jobAccess.js';

/** Parts of the memory for jobs that cancellations of unknown jobs may take. */
const MEMORY_FRACTION = 0.03;
const OWNER_MEMORY_FRACTION = 0.01;

/** Options of {@link JobCancellation}. */
export interface JobCancellationOptions {
  state: ClusterState;
  commits: CommitQueue;
  /** Limit on the estimated memory of all jobs, in bytes. */
  maxJobBytes: number;
  /** Called for each job whose cancellation has been committed. */
  onCancelled: (job: JobRecord) => void;
}

/** Cancels jobs, and submissions that are still on their way. */
export class JobCancellation {
  private readonly opts: JobCancellationOptions;
  /** Memory of the cancellations that are being committed, in bytes; by owner and in all. */
  private readonly committing = new Map<string, number>();
  private committingBytes = 0;

  constructor(opts: JobCancellationOptions) {
    this.opts = opts;
  }

  /**
   * Cancels jobs in one commit. Cancellations of unknown jobs are recorded in the same commit, as
   * far as there is room for them.
   */
  async cancel({ ids, keyId }: CancelParams): Promise<CancelResult> {
    const { state, commits, onCancelled } = this.opts;
    const scope = readCancellationScope(state, keyId);
    const visible = ids.filter((id) => isVisible(state, state.jobs.get(id), keyId));
    // Other ids cannot belong to a submission.
    const unknown = ids.filter((id) => !state.jobs.get(id) && isId('job', id));
    const wallTime = Date.now();
    const recorded = this.selectRecorded(unknown, scope, wallTime);
    if (visible.length + recorded.length > 0) {
      const early = recorded.length > 0 ? { jobs: recorded, ...scope } : undefined;
      const reserved = this.reserve(recorded, scope);
      await commits
        .commit({ type: 'cancel-jobs', jobs: visible, early, wallTime })
        .finally(() => reserved[Symbol.dispose]());
    }
    // Submissions of unknown jobs may have been committed in the meantime.
    const arrived = recorded.filter((id) => isVisible(state, state.jobs.get(id), keyId));
    const found = new Set([...visible, ...arrived]);
    for (const id of found) onCancelled(state.jobs.get(id)!);
    const notRecorded = new Set(unknown);
    for (const id of recorded) notRecorded.delete(id);
    return {
      jobs: ids.map((id) => {
        if (found.has(id)) return { id, state: state.jobs.get(id)!.state };
        return { id, state: notRecorded.has(id) ? 'not-recorded' : 'not-found' };
      }),
    };
  }

  /** Returns the ids whose cancellations can be recorded within the limits. */
  private selectRecorded(ids: string[], scope: CancellationScope, wallTime: number): string[] {
    if (ids.length === 0) return [];
    const { earlyCancellations } = this.opts.state.jobs;
    const { maxJobBytes } = this.opts;
    const owner = ownerOf(scope);
    const use = earlyCancellations.estimateUse(owner, wallTime);
    let own = use.own + (this.committing.get(owner) ?? 0);
    let total = use.total + this.committingBytes;
    return ids.filter((id) => {
      // A repetition takes the place of the earlier one.
      if (earlyCancellations.has(id, scope)) return true;
      const bytes = earlyCancellations.estimateBytes({ ...scope, id, cancelledAt: wallTime });
      const hasRoom =
        own + bytes <= maxJobBytes * OWNER_MEMORY_FRACTION &&
        total + bytes <= maxJobBytes * MEMORY_FRACTION;
      if (!hasRoom) return false;
      own += bytes;
      total += bytes;
      return true;
    });
  }

  /** Counts cancellations until they are committed or have failed. */
  private reserve(ids: string[], scope: CancellationScope): Disposable {
    const { earlyCancellations } = this.opts.state.jobs;
    const owner = ownerOf(scope);
    let bytes = 0;
    for (const id of ids) {
      bytes += earlyCancellations.estimateBytes({ ...scope, id, cancelledAt: 0 });
    }
    this.addCommitting(owner, bytes);
    return { [Symbol.dispose]: () => this.addCommitting(owner, -bytes) };
  }

  private addCommitting(owner: string, bytes: number): void {
    const sum = (this.committing.get(owner) ?? 0) + bytes;
    if (sum > 0) this.committing.set(owner, sum);
    else this.committing.delete(owner);
    this.committingBytes += bytes;
  }
}
