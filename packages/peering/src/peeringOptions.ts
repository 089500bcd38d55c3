import type { PeerLogger } from './peerLogger.js';

/** Address of an instance. */
export interface PeerAddress {
  id: string;
  /** IP address. */
  host: string;
  port: number;
  /**
   * Whether to keep a connection to it, true by default. Without one it cannot be called but may
   * still call, which spares the pings between instances that never call each other.
   */
  dial?: boolean;
}

/** Certificate files in PEM format; they are read again when they change. */
export interface PeerTlsOptions {
  certFile: string;
  keyFile: string;
  /** Authorities that both sides must be signed by. */
  caFile: string;
  /** Whether the common name of a certificate must be the instance id; true by default. */
  checkName?: boolean;
}

/** Options of a TcpPeerNetwork. */
export interface TcpPeerNetworkOptions {
  selfId: string;
  /** Port 0 takes a free port. */
  listen: { host: string; port: number };
  /** Instances that are known from the start; this one may be among them. */
  peers: PeerAddress[];
  /**
   * Returns the address of an instance that is not among `peers`, or undefined for a stranger.
   * Such instances are dialled when they are first called or have shown up.
   */
  resolvePeer?: (instanceId: string) => PeerAddress | undefined;
  tls?: PeerTlsOptions;
  /** Interval of pings on each connection. */
  pingMs?: number;
  /** A connection without a frame for this time is replaced. */
  silenceMs?: number;
  /** Longest time for TCP, TLS and hello together. */
  dialTimeoutMs?: number;
  /**
   * Largest payload of a frame. A frame must pass within `silenceMs`, because the pings of its
   * connection wait behind it; send large data in pieces of about 1 MiB.
   */
  maxFrameBytes?: number;
  /** Bytes that may wait to be sent on one connection. */
  maxSendBufferBytes?: number;
  logger?: PeerLogger;
}

/** Limits of connections, with all defaults filled in. */
export interface ConnectionLimits {
  pingMs: number;
  silenceMs: number;
  dialTimeoutMs: number;
  maxFrameBytes: number;
  maxSendBufferBytes: number;
}

/** Payload limit before a peer has identified itself, so that strangers cannot fill memory. */
export const HELLO_FRAME_BYTES = 4096;

const MEBIBYTE = 1024 * 1024;

/** Returns the limits that `opts` asks for. */
export function resolveLimits(opts: TcpPeerNetworkOptions): ConnectionLimits {
  return {
    pingMs: opts.pingMs ?? 500,
    silenceMs: opts.silenceMs ?? 2000,
    dialTimeoutMs: opts.dialTimeoutMs ?? 1000,
    maxFrameBytes: opts.maxFrameBytes ?? 16 * MEBIBYTE,
    maxSendBufferBytes: opts.maxSendBufferBytes ?? 64 * MEBIBYTE,
  };
}
