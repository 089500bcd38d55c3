import type { RaftState } from './raftState.js';

/** Share by which the distance between two snapshots varies, so that replicas take turns. */
const DISTANCE_SPREAD = 0.5;

/** Decides when a snapshot is taken and what is compacted afterwards. */
export class SnapshotPolicy {
  private isSaving = false;
  private distance: number;

  constructor(private readonly state: RaftState) {
    this.distance = this.chooseDistance();
  }

  /** Asks for a snapshot if enough entries have been applied since the last one. */
  takeIfDue(): void {
    const { state } = this;
    const index = state.appliedIndex;
    const coveredIndex = state.snapshot?.index ?? 0;
    // Storage must hold every entry that a snapshot covers, or its log would have a gap.
    if (this.isSaving || index - coveredIndex < this.distance) return;
    if (index > state.writes.durableIndex) return;
    const term = state.log.termAt(index)!;
    const membership = state.memberships.at(index);
    this.isSaving = true;
    state.effects.push({ type: 'take-snapshot', index, term, membership });
  }

  /** Notes a stored snapshot and compacts the log, except for its latest entries. */
  saved(index: number, data: unknown): void {
    const { state } = this;
    this.isSaving = false;
    this.distance = this.chooseDistance();
    const term = state.log.termAt(index);
    if (term === undefined || index <= (state.snapshot?.index ?? 0)) return;
    state.snapshot = { index, term, membership: state.memberships.at(index), data };
    const compactIndex = index - state.options.snapshotEntries;
    state.log.compactTo(compactIndex);
    state.memberships.compactTo(compactIndex);
  }

  private chooseDistance(): number {
    const { snapshotEntries, random } = this.state.options;
    return Math.ceil(snapshotEntries * (1 + random() * DISTANCE_SPREAD));
  }
}
