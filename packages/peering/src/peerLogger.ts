/** Writes a log line with structured details. */
export type PeerLogMethod = (message: string, details?: Record<string, unknown>) => void;

/** Logger used by the peering layer. */
export interface PeerLogger {
  debug: PeerLogMethod;
  info: PeerLogMethod;
  warn: PeerLogMethod;
  error: PeerLogMethod;
}

/** Logger that discards all log lines. */
export const SILENT_LOGGER: PeerLogger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
