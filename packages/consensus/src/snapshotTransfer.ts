import type { Snapshot } from '@lagoongap/storage/logStore.js';

/** A snapshot on its way to a member, in parts of its JSON text. */
export class SnapshotTransfer {
  /** Position of the part that the member expects next. */
  offset = 0;

  /** @param text - JSON text of the state of the snapshot. */
  constructor(
    readonly snapshot: Snapshot,
    readonly text: string,
  ) {}
}
