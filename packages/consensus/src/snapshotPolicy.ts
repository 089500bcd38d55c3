import type { RaftState } from './raftState.js';

/**
 * Maximum random extension of the snapshot interval, as a fraction of it; keeps replicas from
 * taking snapshots at the same time.
 */
const MAX_INTERVAL_JITTER = 0.5;

/** Default length of the entries between two snapshots, and of those kept after one. */
const DEFAULT_SNAPSHOT_LENGTH = 32 * 1024 * 1024;

/** Decides when to take a snapshot and how far to compact the log afterwards. */
export class SnapshotPolicy {
  private isSaving = false;
  private intervalEntries: number;
  private readonly maxLength: number;

  constructor(private readonly state: RaftState) {
    this.intervalEntries = this.chooseInterval();
    this.maxLength = state.options.snapshotLength ?? DEFAULT_SNAPSHOT_LENGTH;
  }

  /**
   * Requests a snapshot if enough entries have been applied since the last one, or if the log has
   * grown too long: a few large entries would exhaust the memory and the disk.
   */
  requestIfDue(): void {
    const { state } = this;
    const index = state.appliedIndex;
    const lastSnapshotIndex = state.snapshot?.index ?? 0;
    // The store must have every entry that the snapshot covers, or its log would have a gap.
    const isLong = state.log.length > this.maxLength && index > lastSnapshotIndex;
    const isDue = isLong || index - lastSnapshotIndex >= this.intervalEntries;
    if (this.isSaving || !isDue) return;
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
    // Half of the length, so that the next snapshot does not follow at once.
    const longIndex = state.log.findIndexByLength(this.maxLength / 2);
    const compactIndex = Math.max(
      index - state.options.snapshotEntries,
      Math.min(index, longIndex),
    );
    state.log.compactTo(compactIndex);
    state.memberships.compactTo(compactIndex);
  }

  private chooseInterval(): number {
    const { snapshotEntries, random } = this.state.options;
    return Math.ceil(snapshotEntries * (1 + random() * MAX_INTERVAL_JITTER));
  }
}
