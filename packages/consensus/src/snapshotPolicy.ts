import type { RaftState } from './raftState.js';

/**
 * Maximum random extension of the snapshot interval, as a fraction of it; keeps replicas from
 * taking snapshots at the same time.
 */
const MAX_INTERVAL_JITTER = 0.5;

/** Decides when to take a snapshot and how far to compact the log afterwards. */
export class SnapshotPolicy {
  private isSaving = false;
  private intervalEntries: number;

  constructor(private readonly state: RaftState) {
    this.intervalEntries = this.chooseInterval();
  }

  /** Requests a snapshot if enough entries have been applied since the last one. */
  requestIfDue(): void {
    const { state } = this;
    const index = state.appliedIndex;
    const lastSnapshotIndex = state.snapshot?.index ?? 0;
    // The store must have every entry that the snapshot covers, or its log would have a gap.
    if (this.isSaving || index - lastSnapshotIndex < this.intervalEntries) return;
    if (index > state.writes.durableIndex) return;
    const term = state.log.termAt(index)!;
    const membership = state.memberships.at(index);
    this.isSaving = true;
    state.effects.push({ type: 'take-snapshot', index, term, membership });
  }

  /** Records a stored snapshot and compacts the log, keeping its latest entries. */
  onSaved(index: number, data: unknown): void {
    const { state } = this;
    this.isSaving = false;
    this.intervalEntries = this.chooseInterval();
    const term = state.log.termAt(index);
    if (term === undefined || index <= (state.snapshot?.index ?? 0)) return;
    state.snapshot = { index, term, membership: state.memberships.at(index), data };
    const compactIndex = index - state.options.snapshotEntries;
    state.log.compactTo(compactIndex);
    state.memberships.compactTo(compactIndex);
  }

  private chooseInterval(): number {
    const { snapshotEntries, random } = this.state.options;
    return Math.ceil(snapshotEntries * (1 + random() * MAX_INTERVAL_JITTER));
  }
}
