import type { DemoKeys } from '@lagoongap/stand-in/demo/demoNote.js';
import type { CallAnswer, LocalCell } from '@lagoongap/stand-in/localCell.js';

import type { CallRecord } from '../../history/callRecord.js';

/** State of a scenario with a cell of processes. */
export interface CellWorld {
  cell?: LocalCell;
  keys: DemoKeys;
  calls: CallRecord[];
  /** Load that runs while the scenario goes on. */
  load?: Promise<CallRecord[]>;
  ended: number;
  killed: string[];
  answer?: CallAnswer;
  startedAtMs: number;
  jobs: string[];
}
