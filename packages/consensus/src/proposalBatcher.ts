import { toError } from '@lagoongap/model/toError.js';

import { NotLeaderError } from './notLeaderError.js';
import type { AppendedEntry, RaftCore } from './raftCore.js';

interface QueuedProposal {
  command: unknown;
  /** Term in which the command was proposed; it must not be appended in a later one. */
  term: number;
  resolve: (appended: AppendedEntry) => void;
  reject: (err: Error) => void;
}

/**
 * Batches proposals within an interval, so that they share one write and one message per member. If
 * the interval since the previous batch has elapsed, only the proposals of the current event-loop
 * iteration are batched.
 */
export class ProposalBatcher {
  private readonly intervalMs: number;
  private readonly onAppended: () => void;
  private queue: QueuedProposal[] = [];
  private timer: NodeJS.Timeout | undefined;
  private lastFlushMs = -Infinity;

  /** @param onAppended - Called after entries were appended and are ready to be sent. */
  constructor(intervalMs: number, onAppended: () => void) {
    this.intervalMs = intervalMs;
    this.onAppended = onAppended;
  }

  /** Resolves once the command is appended; rejects with NotLeaderError if it is not. */
  append(core: RaftCore, command: unknown): Promise<AppendedEntry> {
    return new Promise((resolve, reject) => {
      this.queue.push({ command, term: core.term, resolve, reject });
      const waitMs = this.lastFlushMs + this.intervalMs - performance.now();
      if (this.intervalMs <= 0) this.flush(core);
      else this.timer ??= setTimeout(() => this.flush(core), Math.max(0, waitMs));
    });
  }

  /** Rejects all proposals that are not yet appended. */
  stop(): void {
    clearTimeout(this.timer);
    for (const { reject } of this.queue.splice(0)) reject(new NotLeaderError());
  }

  private flush(core: RaftCore): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const nowMs = performance.now();
    this.lastFlushMs = nowMs;
    for (const { command, term, resolve, reject } of this.queue.splice(0)) {
      try {
        if (core.term !== term) throw new NotLeaderError(core.leaderId);
        resolve(core.propose(command, nowMs));
      } catch (err) {
        reject(toError(err));
      }
    }
    this.onAppended();
  }
}
