import { LimiterError, type LimiterFailure } from './limiterError.js';

/** Size of the instance that a limiter runs on. */
export interface InstanceSize {
  cores: number;
  memoryMib: number;
}

/** Bounds of a {@link ConcurrencyLimiter}. */
export interface LimiterOptions {
  /** Maximum number of requests in flight. */
  limit: number;
  /** Maximum number of waiting requests. */
  maxWaiting: number;
}

/** Options of {@link ConcurrencyLimiter.acquire}. */
export interface AdmissionOptions {
  /** Longest wait, in milliseconds. */
  maxWaitMs: number;
  signal?: AbortSignal;
}

/** Maximum number of requests in flight per core. */
const REQUESTS_PER_CORE = 128;

/** Memory reserved per request in flight, in MiB; covers the buffers of both directions. */
const MIB_PER_REQUEST = 2;

/** Share of the instance's memory that requests in flight may use. */
const MEMORY_SHARE = 0.25;

interface Waiter {
  admit: () => void;
  refuse: (failure: LimiterFailure, message: string) => void;
}

/** Returns the maximum number of requests in flight for an instance of the given size. */
export function computeInstanceLimit({ cores, memoryMib }: InstanceSize): number {
  const memoryLimit = (memoryMib * MEMORY_SHARE) / MIB_PER_REQUEST;
  return Math.max(1, Math.floor(Math.min(cores * REQUESTS_PER_CORE, memoryLimit)));
}

/** Limits the number of requests in flight; a limited number of others wait in FIFO order. */
export class ConcurrencyLimiter implements Disposable {
  private inFlight = 0;
  private isClosed = false;
  private readonly waiters = new Set<Waiter>();

  constructor(private opts: LimiterOptions) {}

  /** Number of requests in flight. */
  get inFlightCount(): number {
    return this.inFlight;
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Replaces the bounds; requests in flight are not affected. */
  setBounds(opts: LimiterOptions): void {
    this.opts = opts;
    this.admitNext();
  }

  /**
   * Waits for admission.
   *
   * @returns function that releases the admission; further calls have no effect.
   * @throws {LimiterError} if the request is not admitted.
   */
  async acquire({ maxWaitMs, signal }: AdmissionOptions): Promise<() => void> {
    if (this.isClosed) throw new LimiterError('closed', 'the limiter is closed');
    if (signal?.aborted) throw new LimiterError('cancelled', 'cancelled before admission');
    if (this.inFlight < this.opts.limit && this.waiters.size === 0) return this.admit();
    if (this.waiters.size >= this.opts.maxWaiting) {
      const counts = `${this.inFlight} in flight, ${this.waiters.size} waiting`;
      throw new LimiterError('full', `limit reached: ${counts}`);
    }
    return this.wait(maxWaitMs, signal);
  }

  /** Refuses all waiting requests; requests in flight may finish. */
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
