import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';

/** Outcomes of calls and execution events recorded in one scenario. */
export interface History {
  calls: CallRecord[];
  /** Starts and ends of attempts, as recorded by the endpoints. */
  events: HistoryEvent[];
}
