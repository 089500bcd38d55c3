import { write } from 'node:fs';

import type { LogStream } from './createLogger.js';

/** Size of the buffer; lines that do not fit are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Time for which lines are batched before they are written. */
const FLUSH_DELAY_MS = 5;

/** Delay before a write is retried after the descriptor reported EAGAIN. */
const WRITE_RETRY_DELAY_MS = 50;

/** Options of a {@link BoundedStream}. */
export interface BoundedStreamOptions {
  /** File descriptor that lines are written to; standard output by default. */
  fd?: number;
  /** Called with the total number of dropped lines whenever a line does not fit into the buffer. */
  onLeftOut?: (count: number) => void;
}

/**
 * Writes log lines to a file descriptor without blocking the process. Lines are buffered up to a
 * limit; lines that exceed it are dropped and counted.
 */
export class BoundedStream implements LogStream {
  private readonly fd: number;
  private readonly onLeftOut: ((count: number) => void) | undefined;
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;
  private unreportedDrops = 0;

  constructor(opts: BoundedStreamOptions = {}) {
    this.fd = opts.fd ?? 1;
    this.onLeftOut = opts.onLeftOut;
  }

  /** Number of lines dropped so far. */
  get droppedLineCount(): number {
    return this.droppedLines;
  }

  write(text: string): void {
    if (this.waitingBytes + text.length > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      this.unreportedDrops += 1;
      this.onLeftOut?.(this.droppedLines);
      return;
    }
    this.waiting.push(text);
    this.waitingBytes += text.length;
    if (this.isWriting) return;
    this.isWriting = true;
    setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  private flush(): void {
    if (this.waiting.length === 0) {
      this.isWriting = false;
      return;
    }
    if (this.unreportedDrops > 0) {
      this.waiting.push(
        `${JSON.stringify({ level: 'warn', leftOutLines: this.unreportedDrops })}\n`,
      );
      this.unreportedDrops = 0;
    }
    const chunk = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.waitingBytes = 0;
    this.writeChunk(chunk);
  }

  private writeChunk(chunk: Buffer): void {
    write(this.fd, chunk, 0, chunk.length, null, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => this.writeChunk(chunk), WRITE_RETRY_DELAY_MS).unref();
        return;
      }
      if (!err && written < chunk.length) {
        this.writeChunk(chunk.subarray(written));
        return;
      }
      // A closed descriptor accepts no more data; the chunk is dropped.
      if (err) this.droppedLines += 1;
      this.flush();
    });
  }
}
