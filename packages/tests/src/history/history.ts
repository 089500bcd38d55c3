import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';

/** What callers and endpoints saw in one scenario. */
export interface History {
  calls: CallRecord[];
  /** Starts and ends of attempts, as the endpoints recorded them. */
  events: HistoryEvent[];
}
