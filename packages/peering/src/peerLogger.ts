/** Writes a log line with details. */
export type PeerLogMethod = (message: string, details?: Record<string, unknown>) => void;

/** Logger that the network reports to. */
export interface PeerLogger {
  debug: PeerLogMethod;
  info: PeerLogMethod;
  warn: PeerLogMethod;
  error: PeerLogMethod;
}

/** Logger that drops everything. */
export const SILENT_LOGGER: PeerLogger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
