import type { DeepPartial } from '@lagoongap/model/deepPartial.js';
import type { NoteEntries, NoteWithdrawals } from '@lagoongap/model/releaseNote.js';

/** Added or changed entries of which faulty parts are missing. */
export type FaultyEntries = Required<DeepPartial<NoteEntries>>;

/** A release note of which faulty parts are missing. */
export interface FaultyNote {
  number?: number;
  comment?: string;
  added: FaultyEntries;
  changed: FaultyEntries;
  withdrawn: Required<DeepPartial<NoteWithdrawals>>;
}
