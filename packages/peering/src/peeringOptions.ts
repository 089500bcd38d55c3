import type { PeerLogger } from './peerLogger.js';

/** Network address of an instance. */
export interface PeerAddress {
  id: string;
  /** IP address. */
  host: string;
  port: number;
  /**
   * Whether to maintain a connection to the instance, true by default. Without one the instance
   * cannot be called but can still call this one. Disabling it saves the pings between instances
   * that never call each other.
   */
  dial?: boolean;
}

/** Certificate files in PEM format; they are reloaded when they change. */
export interface PeerTlsOptions {
  certFile: string;
  keyFile: string;
  /** Certificate authorities; the certificates of both sides must be signed by one of them. */
  caFile: string;
  /** Whether the common name of a certificate must match the instance id; true by default. */
  checkName?: boolean;
}

/** Options of a TcpPeerNetwork. */
export interface TcpPeerNetworkOptions {
  selfId: string;
  /** Port 0 selects any free port. */
  listen: { host: string; port: number };
  /** Initially known instances; may include this one. */
  peers: PeerAddress[];
  /**
   * Resolves the address of an instance that is not listed in `peers`; returns undefined for an
   * unknown instance. A resolved instance is dialled when it is first called or first connects.
   */
  resolvePeer?: (instanceId: string) => PeerAddress | undefined;
  tls?: PeerTlsOptions;
  /** Interval between pings on each connection. */
  pingMs?: number;
  /** Idle timeout: a connection is replaced after this time without an incoming frame. */
  silenceMs?: number;
  /** Timeout for the TCP connect, the TLS handshake and the hello exchange together. */
  dialTimeoutMs?: number;
  /**
   * Largest payload of a frame. A frame must be transmitted within `silenceMs`, because it blocks
   * the pings of its connection; split large data into chunks of about 1 MiB.
   */
  maxFrameBytes?: number;
  /** Limit on the bytes queued for sending on one connection. */
  maxSendBufferBytes?: number;
  /** Maximum number of connections that other instances have established; 1,024 by default. */
  maxInboundConnections?: number;
  logger?: PeerLogger;
}

/** Connection limits with defaults applied. */
export interface ConnectionLimits {
  pingMs: number;
  silenceMs: number;
  dialTimeoutMs: number;
  maxFrameBytes: number;
  maxSendBufferBytes: number;
}

/**
 * Payload limit until a peer has identified itself; prevents unknown clients from exhausting
 * memory.
 */
export const HELLO_FRAME_BYTES = 4096;

const BYTES_PER_MIB = 1024 * 1024;

/** Returns the connection limits of `opts` with defaults applied. */
export function resolveLimits(opts: TcpPeerNetworkOptions): ConnectionLimits {
  return {
    pingMs: opts.pingMs ?? 500,
    silenceMs: opts.silenceMs ?? 2000,
    dialTimeoutMs: opts.dialTimeoutMs ?? 1000,
    maxFrameBytes: opts.maxFrameBytes ?? 16 * BYTES_PER_MIB,
    maxSendBufferBytes: opts.maxSendBufferBytes ?? 64 * BYTES_PER_MIB,
  };
}
