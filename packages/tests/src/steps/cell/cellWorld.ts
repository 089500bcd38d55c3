import type { DemoKeys } from '@lagoongap/stand-in/demo/demoNote.js';
import type { CallAnswer, LocalCell } from '@lagoongap/stand-in/localCell.js';
import type { SilentRelay } from '@lagoongap/stand-in/silentRelay.js';

import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';

/** A release note that an operator sent, and the answer to it. */
export interface SentNote {
  number: number;
  text: string;
  answer: CallAnswer;
}

/** State of a scenario with a cell of processes. */
export interface CellWorld {
  cell?: LocalCell;
  keys: DemoKeys;
  calls: CallRecord[];
  /** Load that runs while the scenario goes on. */
  load?: Promise<CallRecord[]>;
  /** Ends a load that has no fixed count. */
  stopLoad?: () => void;
  ended: number;
  /** Instances whose process was killed, frozen or cut off and that are not back yet. */
  killed: string[];
  answer?: CallAnswer;
  startedAtMs: number;
  jobs: string[];
  notes: SentNote[];
  /** Relays between instances, by `<dialler>-><listener>`. */
  relays: Map<string, SilentRelay>;
  /** Monotonic time at which the process of an endpoint was killed. */
  killedEndpoints: Map<string, number>;
}
