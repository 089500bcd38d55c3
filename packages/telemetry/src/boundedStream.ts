import { write } from 'node:fs';

import type { LogStream } from './createLogger.js';

/** Bytes that may wait to be written before lines are left out. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Time for which lines are collected before they are written. */
const COLLECT_MS = 5;

/** Pause after the descriptor took nothing. */
const RETRY_MS = 50;

/** Options of a {@link BoundedStream}. */
export interface BoundedStreamOptions {
  /** Descriptor that lines are written to; standard output by default. */
  fd?: number;
  /** Called with the number of lines left out so far, whenever it grows. */
  onLeftOut?: (count: number) => void;
}

/**
 * Writes log lines to a descriptor without ever blocking the process: lines wait in a bounded
 * buffer, and while that is full they are left out and counted.
 */
export class BoundedStream implements LogStream {
  private readonly fd: number;
  private readonly onLeftOut: ((count: number) => void) | undefined;
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private leftOut = 0;
  private unreported = 0;

  constructor(opts: BoundedStreamOptions = {}) {
    this.fd = opts.fd ?? 1;
    this.onLeftOut = opts.onLeftOut;
  }

  /** Lines left out so far. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  write(text: string): void {
    if (this.waitingBytes + text.length > MAX_BUFFERED_BYTES) {
      this.leftOut += 1;
      this.unreported += 1;
      this.onLeftOut?.(this.leftOut);
      return;
    }
    this.waiting.push(text);
    this.waitingBytes += text.length;
    if (this.isWriting) return;
    this.isWriting = true;
    setTimeout(() => this.flush(), COLLECT_MS);
  }

  private flush(): void {
    if (this.waiting.length === 0) {
      this.isWriting = false;
      return;
    }
    if (this.unreported > 0) {
      this.waiting.push(`${JSON.stringify({ level: 'warn', leftOutLines: this.unreported })}\n`);
      this.unreported = 0;
    }
    const chunk = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.waitingBytes = 0;
    this.writeChunk(chunk);
  }

  private writeChunk(chunk: Buffer): void {
    write(this.fd, chunk, 0, chunk.length, null, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => this.writeChunk(chunk), RETRY_MS).unref();
        return;
      }
      if (!err && written < chunk.length) {
        this.writeChunk(chunk.subarray(written));
        return;
      }
      // A closed descriptor takes nothing any more; its lines are left out.
      if (err) this.leftOut += 1;
      this.flush();
    });
  }
}
