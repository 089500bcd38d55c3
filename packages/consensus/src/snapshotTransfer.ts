import type { Snapshot } from '@lagoongap/storage/logStore.js';

/** Transfer of a snapshot to a member, in chunks of its JSON text. */
export class SnapshotTransfer {
  /** Position of the chunk that the member expects next. */
  offset = 0;

  /** @param text - JSON text of the state in the snapshot. */
  constructor(
    readonly snapshot: Snapshot,
    readonly text: string,
  ) {}
}
