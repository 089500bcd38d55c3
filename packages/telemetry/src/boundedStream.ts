import { write } from 'node:fs';

import type { LogStream } from './createLogger.js';
import { LOG_LEVELS, type LogLevel } from './logger.js';

/** Size of the buffer; lines that do not fit are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Bytes that are made free at a time when a significant line does not fit. */
const EVICTED_BYTES = 16 * 1024;

/** Time for which lines are batched before they are written. */
const FLUSH_DELAY_MS = 5;

/** Delay before a write is retried after the descriptor reported EAGAIN. */
const WRITE_RETRY_DELAY_MS = 50;

/** Options of a {@link BoundedStream}. */
export interface BoundedStreamOptions {
  /** File descriptor that lines are written to; standard output by default. */
  fd?: number;
  /** Called with the total number of dropped lines of a level whenever one is dropped. */
  onLeftOut?: (level: LogLevel, count: number) => void;
}

interface BufferedLine {
  text: string;
  level: LogLevel;
}

/** Returns whether lines of a level report routine work and are dropped before all others. */
function isRoutine(level: LogLevel): boolean {
  return level === 'debug' || level === 'info';
}

/**
 * Writes log lines to a file descriptor without blocking the process. Lines are buffered up to a
 * limit; beyond it lines are dropped and counted, those about routine work first.
 */
export class BoundedStream implements LogStream {
  private readonly fd: number;
  private readonly onLeftOut: ((level: LogLevel, count: number) => void) | undefined;
  private waiting: BufferedLine[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private readonly dropped = new Map<LogLevel, number>();
  private unreportedDrops = new Map<LogLevel, number>();

  constructor(opts: BoundedStreamOptions = {}) {
    this.fd = opts.fd ?? 1;
    this.onLeftOut = opts.onLeftOut;
  }

  /** Number of lines dropped so far. */
  get droppedLineCount(): number {
    return LOG_LEVELS.reduce((total, level) => total + this.countDropped(level), 0);
  }

  /** Returns the number of lines of a level dropped so far. */
  countDropped(level: LogLevel): number {
    return this.dropped.get(level) ?? 0;
  }

  write(text: string, level: LogLevel = 'info'): void {
    const excessBytes = this.waitingBytes + text.length - MAX_BUFFERED_BYTES;
    if (excessBytes > 0 && !isRoutine(level)) this.evictRoutine(excessBytes + EVICTED_BYTES);
    if (this.waitingBytes + text.length > MAX_BUFFERED_BYTES) {
      this.recordDropped(level);
      return;
    }
    this.waiting.push({ text, level });
    this.waitingBytes += text.length;
    if (this.isWriting) return;
    this.isWriting = true;
    setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Drops the oldest routine lines until `bytes` are free or none is left. */
  private evictRoutine(bytes: number): void {
    let freedBytes = 0;
    this.waiting = this.waiting.filter(({ text, level }) => {
      if (freedBytes >= bytes || !isRoutine(level)) return true;
      freedBytes += text.length;
      this.recordDropped(level);
      return false;
    });
    this.waitingBytes -= freedBytes;
  }

  private recordDropped(level: LogLevel): void {
    const total = this.countDropped(level) + 1;
    this.dropped.set(level, total);
    this.unreportedDrops.set(level, (this.unreportedDrops.get(level) ?? 0) + 1);
    this.onLeftOut?.(level, total);
  }

  private flush(): void {
    if (this.waiting.length === 0) {
      this.isWriting = false;
      return;
    }
    if (this.unreportedDrops.size > 0) this.waiting.push(this.createDropReport());
    const lines = this.waiting;
    this.waiting = [];
    this.waitingBytes = 0;
    this.writeChunk(Buffer.from(lines.map(({ text }) => text).join('')), lines);
  }

  /** Creates a line that tells how many lines are missing before it. */
  private createDropReport(): BufferedLine {
    const byLevel = Object.fromEntries(this.unreportedDrops);
    const leftOutLines = [...this.unreportedDrops.values()].reduce((total, n) => total + n, 0);
    this.unreportedDrops = new Map();
    const head = { time: new Date().toISOString(), level: 'warn', message: 'log lines left out' };
    return { text: `${JSON.stringify({ leftOutLines, byLevel, ...head })}\n`, level: 'warn' };
  }

  private writeChunk(chunk: Buffer, lines: readonly BufferedLine[]): void {
    write(this.fd, chunk, 0, chunk.length, null, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => this.writeChunk(chunk, lines), WRITE_RETRY_DELAY_MS).unref();
        return;
      }
      if (!err && written < chunk.length) {
        this.writeChunk(chunk.subarray(written), lines);
        return;
      }
      // A closed descriptor accepts no more data.
      if (err) for (const { level } of lines) this.recordDropped(level);
      this.flush();
    });
  }
}
