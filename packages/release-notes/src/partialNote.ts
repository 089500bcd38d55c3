import type { DeepPartial } from '@lagoongap/model/deepPartial.js';
import type { NoteEntries, NoteWithdrawals } from '@lagoongap/model/releaseNote.js';

/** Added or changed entries without their invalid parts. */
export type PartialEntries = Required<DeepPartial<NoteEntries>>;

/** A release note without its invalid parts, for checking the rest of it. */
export interface PartialNote {
  number?: number;
  comment?: string;
  added: PartialEntries;
  changed: PartialEntries;
  withdrawn: Required<DeepPartial<NoteWithdrawals>>;
}
