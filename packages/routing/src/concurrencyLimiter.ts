import { LimiterError, type LimiterFailure } from './limiterError.js';

/** Size of the instance that a limiter runs on. */
export interface InstanceSize {
  cores: number;
  memoryMib: number;
}

/** Bounds of a {@link ConcurrencyLimiter}. */
export interface LimiterOptions {
  /** Most that may be in flight. */
  limit: number;
  /** Most that may wait. */
  maxWaiting: number;
}

/** How long to wait for admission. */
export interface AdmissionOptions {
  /** Longest wait, in milliseconds. */
  maxWaitMs: number;
  signal?: AbortSignal;
}

/** Requests in flight for each core. */
const REQUESTS_PER_CORE = 128;

/** Memory set aside for each request in flight, in MiB; covers the buffers of both directions. */
const MIB_PER_REQUEST = 2;

/** Share of the instance's memory that requests in flight may use. */
const MEMORY_SHARE = 0.25;

interface Waiter {
  admit: () => void;
  refuse: (failure: LimiterFailure, message: string) => void;
}

/** Returns how many requests an instance of the given size may have in flight. */
export function computeInstanceLimit({ cores, memoryMib }: InstanceSize): number {
  const memoryLimit = (memoryMib * MEMORY_SHARE) / MIB_PER_REQUEST;
  return Math.max(1, Math.floor(Math.min(cores * REQUESTS_PER_CORE, memoryLimit)));
}

/** Admits a bounded number at a time; a bounded number waits in order of arrival. */
export class ConcurrencyLimiter implements Disposable {
  private inFlight = 0;
  private isClosed = false;
  private readonly waiters = new Set<Waiter>();

  constructor(private opts: LimiterOptions) {}

  /** Number in flight. */
  get inFlightCount(): number {
    return this.inFlight;
  }

  /** Number that waits. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Replaces the bounds; what is in flight stays. */
  setBounds(opts: LimiterOptions): void {
    this.opts = opts;
    this.admitNext();
  }

  /**
   * Waits for admission; rejects with LimiterError.
   *
   * @returns function that ends the admission; further calls do nothing.
   */
  async acquire({ maxWaitMs, signal }: AdmissionOptions): Promise<() => void> {
    if (this.isClosed) throw new LimiterError('closed', 'the limiter is closed');
    if (signal?.aborted) throw new LimiterError('cancelled', 'cancelled before admission');
    if (this.inFlight < this.opts.limit && this.waiters.size === 0) return this.admit();
    if (this.waiters.size >= this.opts.maxWaiting) {
      const counts = `${this.inFlight} in flight, ${this.waiters.size} waiting`;
      throw new LimiterError('full', `no room: ${counts}`);
    }
    return this.wait(maxWaitMs, signal);
  }

  /** Refuses all that wait; what is in flight may finish. */
  [Symbol.dispose](): void {
    this.isClosed = true;
    for (const waiter of [...this.waiters]) waiter.refuse('closed', 'the limiter is closed');
  }

  private wait(maxWaitMs: number, signal?: AbortSignal): Promise<() => void> {
    return new Promise((resolve, reject) => {
      let cleanUp = () => {};
      const waiter: Waiter = {
        admit: () => {
          cleanUp();
          resolve(this.admit());
        },
        refuse: (failure, message) => {
          cleanUp();
          reject(new LimiterError(failure, message));
        },
      };
      const onAbort = () => waiter.refuse('cancelled', 'cancelled while waiting for admission');
      const timer = setTimeout(() => {
        waiter.refuse('deadline-exceeded', `not admitted within ${maxWaitMs} ms`);
      }, maxWaitMs);
      cleanUp = () => {
        this.waiters.delete(waiter);
        clearTimeout(timer);
        signal?.removeEventListener('abort', onAbort);
      };
      signal?.addEventListener('abort', onAbort);
      this.waiters.add(waiter);
    });
  }

  private admit(): () => void {
    this.inFlight += 1;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.inFlight -= 1;
      this.admitNext();
    };
  }

  private admitNext(): void {
    for (const waiter of this.waiters) {
      if (this.inFlight >= this.opts.limit) return;
      waiter.admit();
    }
  }
}
