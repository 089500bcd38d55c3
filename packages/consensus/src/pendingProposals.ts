import { CommitUnknownError } from './commitUnknownError.js';
import type { AppendedEntry } from './raftCore.js';
import type { ProposeResult } from './replicatedLog.js';

interface PendingProposal {
  term: number;
  resolve: (result: ProposeResult) => void;
  reject: (error: Error) => void;
}

/** Proposals whose callers wait for the commit. */
export class PendingProposals {
  private readonly byIndex = new Map<number, PendingProposal[]>();

  /**
   * Resolves once the entry is applied; rejects with CommitUnknownError if its outcome is unknown.
   */
  async waitFor({ index, term }: AppendedEntry): Promise<ProposeResult> {
    return new Promise((resolve, reject) => {
      const waiting = this.byIndex.get(index);
      const pending: PendingProposal = { term, resolve, reject };
      if (waiting === undefined) this.byIndex.set(index, [pending]);
      else waiting.push(pending);
    });
  }

  /** Settles the proposals at the index of an applied entry. */
  settle({ index, term }: AppendedEntry, result: unknown): void {
    const waiting = this.byIndex.get(index);
    if (waiting === undefined) return;
    this.byIndex.delete(index);
    for (const pending of waiting) {
      if (pending.term === term) pending.resolve({ index, result });
      else pending.reject(new CommitUnknownError(index));
    }
  }

  /** Rejects all proposals whose term is not the one that this replica currently leads. */
  rejectOtherTerms(ledTerm: number | undefined, cause?: Error): void {
    for (const [index, waiting] of this.byIndex) {
      const kept = waiting.filter(({ term }) => term === ledTerm);
      if (kept.length > 0) this.byIndex.set(index, kept);
      else this.byIndex.delete(index);
      for (const pending of waiting) {
        if (pending.term !== ledTerm) pending.reject(new CommitUnknownError(index, cause));
      }
    }
  }
}
