import type { DemoKeys } from '@lagoongap/stand-in/demo/demoNote.js';
import type { CallResponse, LocalCell } from '@lagoongap/stand-in/localCell.js';
import type { PausableRelay } from '@lagoongap/stand-in/pausableRelay.js';

import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';

/** Release note that an operator sent, with the response to it. */
export interface SentNote {
  number: number;
  text: string;
  answer: CallResponse;
}

/** Cucumber world of a scenario that runs a cell in separate processes. */
export interface CellWorld {
  cell?: LocalCell;
  keys: DemoKeys;
  calls: CallRecord[];
  /** Load that runs in the background of the scenario. */
  load?: Promise<CallRecord[]>;
  /** Stops a load that has no fixed count. */
  stopLoad?: () => void;
  /** Number of requests of the load that have ended. */
  ended: number;
  /** Instances that are killed, suspended or partitioned and have not recovered yet. */
  unavailable: string[];
  answer?: CallResponse;
  startedAtMs: number;
  jobs: string[];
  notes: SentNote[];
  /** Relays between instances, by `<connecting instance>-><listening instance>`. */
  relays: Map<string, PausableRelay>;
  /** Monotonic time in milliseconds at which the process of an endpoint was killed, by its id. */
  killedAtMsByEndpoint: Map<string, number>;
}
