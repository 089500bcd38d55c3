import type { Log } from '@lagoongap/model/log.js';
import { toError } from '@lagoongap/model/toError.js';

/** Options of {@link handleStrayErrors}. */
export interface StrayErrorOptions {
  /** Emits `unhandledRejection` and `uncaughtException`; usually the process. */
  source: NodeJS.EventEmitter;
  log: Log;
  /** Completes accepted work and releases resources. */
  stop: () => Promise<void>;
  exit: (code: number) => void;
  /** Maximum duration of `stop`. */
  stopTimeoutMs: number;
}

const EXIT_FAILURE = 1;

/** Minimum time between two lines about rejections. */
const LOG_INTERVAL_MS = 1000;

/**
 * Handles errors that reached no other handler. A rejection that nothing awaits interrupts only its
 * own operation, so that the process continues. An exception may leave a change half done, so that
 * the process completes accepted work and ends; another one meanwhile ends it at once.
 */
export function handleStrayErrors(opts: StrayErrorOptions): void {
  const { source, log, stop, exit, stopTimeoutMs } = opts;
  let loggedMs = -Infinity;
  let suppressed = 0;
  let isStopping = false;

  source.on('unhandledRejection', (reason: unknown) => {
    const nowMs = performance.now();
    if (nowMs - loggedMs < LOG_INTERVAL_MS) {
      suppressed += 1;
      return;
    }
    const { message, stack } = toError(reason);
    log.error('rejection was not handled', { err: message, stack, suppressed });
    loggedMs = nowMs;
    suppressed = 0;
  });

  source.on('uncaughtException', (thrown: unknown) => {
    const { message, stack } = toError(thrown);
    log.error('fatal error: exception was not handled', { err: message, stack });
    if (isStopping) {
      exit(EXIT_FAILURE);
      return;
    }
    isStopping = true;
    setTimeout(() => exit(EXIT_FAILURE), stopTimeoutMs);
    stop().then(
      () => exit(EXIT_FAILURE),
      () => exit(EXIT_FAILURE),
    );
  });
}
