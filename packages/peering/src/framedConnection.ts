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
  /** Largest accepted payload until `maxFrameBytes` is raised. */
  maxFrameBytes: number;
  /** Bytes that may wait to be sent. */
  maxSendBufferBytes: number;
  /** The connection is reset after this time without a frame. */
  silenceMs: number;
  onMessage: (message: FrameMessage) => void;
  /** Called once. */
  onClose: (cause: Error) => void;
}

/** Result of handing over a frame. */
export type SendResult = 'queued' | 'buffer-full' | 'closed';

/** Time that a peer has to take the last frames and close its side. */
const CLOSE_TIMEOUT_MS = 500;

/**
 * Frames over a socket. The frames of one event-loop turn are written together, a connection
 * without incoming frames is reset, and what waits to be sent is bounded.
 */
export class FramedConnection {
  counters: PeerCounters = createPeerCounters();

  private readonly opts: FramedConnectionOptions;
  private readonly decoder: FrameDecoder;
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private flushHandle: NodeJS.Immediate | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
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
    socket.on('close', () => this.reset(new PeerError('the connection was closed')));
    this.scheduleSilenceCheck(opts.silenceMs);
  }

  /** Socket that the frames travel on. */
  get socket(): Socket {
    return this.opts.socket;
  }

  /** Counts into `counters` from now on, including what has been counted so far. */
  adoptCounters(counters: PeerCounters): void {
    const { messagesIn, messagesOut, bytesIn, bytesOut } = this.counters;
    counters.messagesIn += messagesIn;
    counters.messagesOut += messagesOut;
    counters.bytesIn += bytesIn;
    counters.bytesOut += bytesOut;
    this.counters = counters;
  }

  /** Accepts larger frames, once the peer has identified itself. */
  raiseFrameLimit(maxFrameBytes: number): void {
    this.decoder.maxFrameBytes = maxFrameBytes;
  }

  /** Queues a frame; raises FrameError if the message cannot be encoded. */
  send(message: unknown, maxFrameBytes: number): SendResult {
    if (this.closed) return 'closed';
    const frame = encodeFrame(message, maxFrameBytes);
    const waiting = this.queuedBytes + this.opts.socket.writableLength;
    if (waiting + frame.length > this.opts.maxSendBufferBytes) return 'buffer-full';
    this.queue.push(frame);
    this.queuedBytes += frame.length;
    this.counters.messagesOut += 1;
    this.counters.bytesOut += frame.length;
    this.flushHandle ??= setImmediate(() => this.flush());
    return 'queued';
  }

  /** Drops the connection at once, without waiting for the peer. */
  reset(cause: Error): void {
    if (this.closed) return;
    this.release();
    const { socket } = this.opts;
    FramedConnection.destroy(socket);
    this.opts.onClose(cause);
  }

  /** Sends what is queued, then closes. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.flush();
    this.release();
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
   * Resets the connection: a graceful close would leave the unsent bytes of a silent connection
   * with the kernel. Node.js 20 cannot reset below TLS (doing so on the TCP socket crashes the
   * process with a segmentation fault), so TLS sockets are destroyed plainly.
   */
  private static destroy(socket: Socket): void {
    if (socket.connecting || socket instanceof TLSSocket) socket.destroy();
    else socket.resetAndDestroy();
  }

  private release(): void {
    this.closed = true;
    clearImmediate(this.flushHandle);
    clearTimeout(this.silenceTimer);
    this.queue = [];
  }

  private flush(): void {
    this.flushHandle = undefined;
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

  private scheduleSilenceCheck(delayMs: number): void {
    this.silenceTimer = setTimeout(() => this.checkSilence(false), delayMs);
    this.silenceTimer.unref();
  }

  /** After a pause of this process, frames may wait in the kernel: they are read first. */
  private checkSilence(hasPolled: boolean): void {
    if (this.closed) return;
    const silentMs = performance.now() - this.lastFrameAtMs;
    if (silentMs < this.opts.silenceMs) {
      this.scheduleSilenceCheck(Math.ceil(this.opts.silenceMs - silentMs));
    } else if (!hasPolled) {
      setImmediate(() => this.checkSilence(true));
    } else {
      this.reset(new PeerError(`no frame for ${Math.round(silentMs)} ms`));
    }
  }
}
