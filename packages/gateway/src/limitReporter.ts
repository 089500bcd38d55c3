import type { Log } from '@lagoongap/model/log.js';
import type { LABEL_VALUES } from '@lagoongap/telemetry/labelValues.js';

/** Limit that a client has met. */
export type ClientLimit = (typeof LABEL_VALUES.limit)[number];

/** Options of a {@link LimitReporter}. */
export interface LimitReporterOptions {
  /** Name of the listener, or of the process for limits of all listeners. */
  listener: string;
  log: Log;
  /** Counts each request or connection that a limit has refused or closed. */
  onLimit?: (listener: string, limit: ClientLimit) => void;
}

interface Line {
  loggedMs: number;
  suppressed: number;
}

/** Minimum time between two lines for the same limit. */
const LOG_INTERVAL_MS = 10_000;

/** Idle connections are closed as a matter of course. */
const UNLOGGED: readonly ClientLimit[] = ['idle'];

/** Counts what the limits on clients refuse, and logs a line for each limit from time to time. */
export class LimitReporter {
  private readonly opts: LimitReporterOptions;
  private readonly lines = new Map<ClientLimit, Line>();

  constructor(opts: LimitReporterOptions) {
    this.opts = opts;
  }

  record(limit: ClientLimit): void {
    const { listener, log, onLimit } = this.opts;
    onLimit?.(listener, limit);
    if (UNLOGGED.includes(limit)) return;
    const nowMs = performance.now();
    const line = this.lines.get(limit);
    if (line && nowMs - line.loggedMs < LOG_INTERVAL_MS) {
      line.suppressed += 1;
      return;
    }
    log.warn('client limit reached', { listener, limit, suppressed: line?.suppressed ?? 0 });
    this.lines.set(limit, { loggedMs: nowMs, suppressed: 0 });
  }
}
