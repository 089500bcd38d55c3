import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';

import { toError } from '@lagoongap/model/toError.js';

import { encodeFrame, type FrameMessage } from './frameCodec.js';
import { FrameDecoder } from './frameDecoder.js';
import { createPeerCounters, type PeerCounters } from './peerCounters.js';
import { PeerError } from './peerError.js';

/** Options of a {@link FramedConnection}. */
export interface FramedConnectionOptions {
  socket: Socket;
  /** Largest accepted payload until `raiseFrameLimit` is called. */
  maxFrameBytes: number;
  /** Limit on the bytes that are queued for sending. */
  maxSendBufferBytes: number;
  /** Idle timeout: the connection is reset after this time without an incoming frame. */
  silenceMs: number;
  onMessage: (message: FrameMessage) => void;
  /** Called once, when the connection is closed by either side. */
  onClose: (cause: Error) => void;
}

/** Result of queueing a frame for sending. */
export type SendResult = 'queued' | 'buffer-full' | 'closed';

/** Time allowed for a peer to receive the last frames and close its side. */
const CLOSE_TIMEOUT_MS = 500;

/**
 * Exchanges frames over a socket. Frames that are sent in one callback are written together, a
 * connection without incoming frames is reset after an idle timeout, and the send buffer is
 * bounded.
 */
export class FramedConnection {
  counters: PeerCounters = createPeerCounters();

  private readonly opts: FramedConnectionOptions;
  private readonly decoder: FrameDecoder;
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private isFlushScheduled = false;
  private idleTimer: NodeJS.Timeout | undefined;
  private lastFrameAtMs = performance.now();
  private closed = false;

  constructor(opts: FramedConnectionOptions) {
    this.opts = opts;
    this.decoder = new FrameDecoder(opts.maxFrameBytes);
    const { socket } = opts;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', (err) => this.reset(err));
    socket.on('end', () => this.reset(new PeerError('the peer closed the connection')));
    socket.on('close', () => this.reset(new PeerError('the connection was closed unexpectedly')));
    this.scheduleIdleCheck(opts.silenceMs);
  }

  /** Underlying socket. */
  get socket(): Socket {
    return this.opts.socket;
  }

  /** Adds the traffic counted so far to `counters` and counts into them from now on. */
  attachCounters(counters: PeerCounters): void {
    const { messagesIn, messagesOut, bytesIn, bytesOut } = this.counters;
    counters.messagesIn += messagesIn;
    counters.messagesOut += messagesOut;
    counters.bytesIn += bytesIn;
    counters.bytesOut += bytesOut;
    this.counters = counters;
  }

  /** Accepts larger frames; called once the peer has identified itself. */
  raiseFrameLimit(maxFrameBytes: number): void {
    this.decoder.maxFrameBytes = maxFrameBytes;
  }

  /** Queues a message for sending. Throws FrameError if it cannot be encoded. */
  send(message: unknown, maxFrameBytes: number): SendResult {
    if (this.closed) return 'closed';
    const frame = encodeFrame(message, maxFrameBytes);
    const pendingBytes = this.queuedBytes + this.opts.socket.writableLength;
    if (pendingBytes + frame.length > this.opts.maxSendBufferBytes) return 'buffer-full';
    this.queue.push(frame);
    this.queuedBytes += frame.length;
    this.counters.messagesOut += 1;
    this.counters.bytesOut += frame.length;
    this.scheduleFlush();
    return 'queued';
  }

  /** Closes the connection immediately, discarding queued frames. */
  reset(cause: Error): void {
    if (this.closed) return;
    this.markClosed();
    const { socket } = this.opts;
    FramedConnection.destroy(socket);
    this.opts.onClose(cause);
  }

  /** Sends the queued frames, then closes the connection. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.flush();
    this.markClosed();
    this.opts.onClose(new PeerError('the connection was closed by this instance'));
    const { socket } = this.opts;
    if (socket.connecting || socket.destroyed) {
      FramedConnection.destroy(socket);
      return;
    }
    await new Promise<void>((resolve) => {
      const reset = () => FramedConnection.destroy(socket);
      const timer = setTimeout(reset, CLOSE_TIMEOUT_MS);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      socket.end(() => socket.destroySoon());
    });
  }

  /**
   * Resets the TCP connection, because after a graceful close the kernel would keep the unsent
   * bytes of an unresponsive peer. TLS sockets are destroyed without a reset: in Node.js 20,
   * resetting the TCP socket below TLS crashes the process with a segmentation fault.
   */
  private static destroy(socket: Socket): void {
    if (socket.connecting || socket instanceof TLSSocket) socket.destroy();
    else socket.resetAndDestroy();
  }

  private markClosed(): void {
    this.closed = true;
    clearTimeout(this.idleTimer);
    this.queue = [];
  }

  /** Schedules a flush at the end of the current callback; an immediate may run much later. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    process.nextTick(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.queue.length === 0) return;
    const bytes = this.queue.length === 1 ? this.queue[0]! : Buffer.concat(this.queue);
    this.queue = [];
    this.queuedBytes = 0;
    this.opts.socket.write(bytes);
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.counters.bytesIn += chunk.length;
    this.decoder.push(chunk);
    try {
      while (!this.closed) {
        const message = this.decoder.next();
        if (!message) return;
        this.lastFrameAtMs = performance.now();
        this.counters.messagesIn += 1;
        this.opts.onMessage(message);
      }
    } catch (err) {
      this.reset(toError(err));
    }
  }

  private scheduleIdleCheck(delayMs: number): void {
    this.idleTimer = setTimeout(() => this.checkIdleTimeout(false), delayMs);
    this.idleTimer.unref();
  }

  /**
   * Resets the connection if no frame has arrived within the idle timeout. If this process was
   * paused, frames may be waiting in the kernel, so pending input is read once before the
   * connection is reset.
   */
  private checkIdleTimeout(hasReadPending: boolean): void {
    if (this.closed) return;
    const idleMs = performance.now() - this.lastFrameAtMs;
    if (idleMs < this.opts.silenceMs) {
      this.scheduleIdleCheck(Math.ceil(this.opts.silenceMs - idleMs));
    } else if (!hasReadPending) {
      setImmediate(() => this.checkIdleTimeout(true));
    } else {
      this.reset(new PeerError(`no frame for ${Math.round(idleMs)} ms`));
    }
  }
}
