/** Structured fields of a log line; must not contain secrets. */
export type LogFields = Record<string, unknown>;

/** Logging interface, implemented by the telemetry layer. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  /** A normal but significant event, such as a change of leader; kept when others are dropped. */
  notice(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Logger that discards all log lines. */
export const SILENT_LOG: Log = {
  debug() {},
  info() {},
  notice() {},
  warn() {},
  error() {},
};
