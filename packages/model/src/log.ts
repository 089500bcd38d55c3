/** Structured fields of a log line; never secrets. */
export type LogFields = Record<string, unknown>;

/** Sink for log lines, implemented by the telemetry layer. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Discards all log lines. */
export const SILENT_LOG: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
