/** Limits of one listener on its clients. */
export interface ListenerLimits {
  /** Maximum number of open connections. */
  maxConnections: number;
  /** Maximum number of requests of a connection that have not been answered. */
  maxPipelinedRequests: number;
  /** Response bytes that a client may leave unread before it sends its next request. */
  maxUnreadBytesPerConnection: number;
  /** Response bytes that all clients of the listener together may leave unread. */
  maxUnreadBytes: number;
  /** Maximum size of the request line and the headers. */
  maxHeaderBytes: number;
  /** Maximum number of headers; each takes several times its bytes until the request is complete. */
  maxHeaders: number;
  /** Time in which the headers of a request must be complete. */
  headerTimeoutMs: number;
  /** Time without a request, or without a byte of an unfinished request, until a connection closes. */
  idleTimeoutMs: number;
}

const BYTES_PER_KIB = 1024;
const BYTES_PER_MIB = 1024 * 1024;

/**
 * Limits without settings. Clients of the platform send at most 16,384 bytes of headers within 3 s
 * and leave connections idle for at most 15 s; the rest of each limit is a margin for the request
 * line and for a busy process.
 */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = {
  maxConnections: 1024,
  maxPipelinedRequests: 32,
  maxUnreadBytesPerConnection: 256 * BYTES_PER_KIB,
  maxUnreadBytes: 16 * BYTES_PER_MIB,
  maxHeaderBytes: 20 * BYTES_PER_KIB,
  maxHeaders: 256,
  headerTimeoutMs: 6000,
  idleTimeoutMs: 20_000,
};

/** Default for the bytes of all requests in progress of a process. */
export const DEFAULT_REQUEST_BYTES = 64 * BYTES_PER_MIB;
