/** Traffic exchanged with one instance since the start, pings included. */
export interface PeerCounters {
  messagesIn: number;
  messagesOut: number;
  /** Bytes of frames with their length fields, without TLS and TCP. */
  bytesIn: number;
  bytesOut: number;
  /** Notifications and answers that were dropped instead of sent. */
  dropped: number;
  /** Connections that were established to the instance. */
  connects: number;
}

/** Returns counters at zero. */
export function createPeerCounters(): PeerCounters {
  return { messagesIn: 0, messagesOut: 0, bytesIn: 0, bytesOut: 0, dropped: 0, connects: 0 };
}
