import type { Log } from '@lagoongap/model/log.js';
import { toError } from '@lagoongap/model/toError.js';

/** Options of {@link handleStopSignal}. */
export interface StopSignalOptions {
  /** Emits `SIGTERM`; usually the process. */
  source: NodeJS.EventEmitter;
  log: Log;
  /** Completes accepted work and releases resources. */
  stop: () => Promise<void>;
  exit: (code: number) => void;
  /** Time after the signal at which the process is killed. */
  graceMs: number;
}

/**
 * Part of the grace time after which a process ends with what it has released by then. Accepted
 * calls have ended before; what is left are connections to peers that do not respond.
 */
const STOP_FRACTION = 0.9;

const EXIT_FAILURE = 1;

/** Stops the process on `SIGTERM`, and ends it before it would be killed. */
export function handleStopSignal({ source, log, stop, exit, graceMs }: StopSignalOptions): void {
  let isStopping = false;
  source.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    const timeoutMs = graceMs * STOP_FRACTION;
    setTimeout(() => {
      log.warn('process ends before it has released everything', { timeoutMs });
      exit(0);
    }, timeoutMs);
    stop().then(
      () => exit(0),
      (err: unknown) => {
        log.error('process failed to stop', { err: toError(err).message });
        exit(EXIT_FAILURE);
      },
    );
  });
}
