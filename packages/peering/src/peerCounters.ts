/** Traffic exchanged with one instance since process start, including pings. */
export interface PeerCounters {
  messagesIn: number;
  messagesOut: number;
  /** Bytes of frames including their length fields, without TLS and TCP overhead. */
  bytesIn: number;
  bytesOut: number;
  /** Notifications and responses that were dropped instead of sent. */
  dropped: number;
  /** Connections established to the instance. */
  connects: number;
}

/** Returns counters that are all zero. */
export function createPeerCounters(): PeerCounters {
  return { messagesIn: 0, messagesOut: 0, bytesIn: 0, bytesOut: 0, dropped: 0, connects: 0 };
}
