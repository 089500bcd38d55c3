interface VirtualTimer {
  atMs: number;
  sequence: number;
  run: () => void;
  isCleared: boolean;
}

/**
 * Replaces the runtime's clocks and timers with virtual time, which advances from timer to timer
 * without waiting. Only for measurements in a single process without I/O.
 */
export class VirtualClock implements Disposable {
  private nowMs = 0;
  private lastSequence = 0;
  /** Binary heap with the earliest timer first. */
  private readonly heap: VirtualTimer[] = [];
  private readonly original = {
    now: performance.now,
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    setInterval: globalThis.setInterval,
    clearInterval: globalThis.clearInterval,
    dateNow: Date.now,
  };

  private readonly startWallMs = Date.now();

  constructor() {
    performance.now = () => this.nowMs;
    Date.now = () => this.startWallMs + this.nowMs;
    globalThis.setTimeout = ((run: () => void, ms = 0) => this.addTimer(run, ms)) as never;
    globalThis.clearTimeout = ((timer?: VirtualTimer) => {
      if (timer !== undefined) timer.isCleared = true;
    }) as never;
    globalThis.setInterval = ((run: () => void, ms: number) => this.addInterval(run, ms)) as never;
    globalThis.clearInterval = globalThis.clearTimeout;
  }

  /** Runs timers until virtual time has reached `endMs`. */
  runUntil(endMs: number): void {
    while (this.heap.length > 0 && this.heap[0]!.atMs <= endMs) {
      const timer = this.popEarliest();
      if (timer.isCleared) continue;
      this.nowMs = timer.atMs;
      timer.run();
    }
    this.nowMs = endMs;
  }

  /**
   * Runs timers until virtual time has reached `endMs`, and the promises that they resolve.
   *
   * @param onTurn - Called with the real duration in milliseconds of each timer and its promises.
   */
  async runAsyncUntil(endMs: number, onTurn: (durationMs: number) => void): Promise<void> {
    while (this.heap.length > 0 && this.heap[0]!.atMs <= endMs) {
      const timer = this.popEarliest();
      if (timer.isCleared) continue;
      this.nowMs = timer.atMs;
      const startMs = this.original.now.call(performance);
      timer.run();
      await new Promise(setImmediate);
      onTurn(this.original.now.call(performance) - startMs);
    }
    this.nowMs = endMs;
  }

  /** Restores the runtime's clocks and timers. */
  [Symbol.dispose](): void {
    performance.now = this.original.now;
    globalThis.setTimeout = this.original.setTimeout;
    globalThis.clearTimeout = this.original.clearTimeout;
    globalThis.setInterval = this.original.setInterval;
    globalThis.clearInterval = this.original.clearInterval;
    Date.now = this.original.dateNow;
  }

  private addInterval(run: () => void, ms: number): VirtualTimer {
    const timer = this.addTimer(() => {
      run();
      if (timer.isCleared) return;
      timer.atMs = this.nowMs + ms;
      this.push(timer);
    }, ms);
    return timer;
  }

  private addTimer(run: () => void, ms: number): VirtualTimer {
    this.lastSequence += 1;
    const timer = {
      atMs: this.nowMs + Math.max(0, ms),
      sequence: this.lastSequence,
      run,
      isCleared: false,
    };
    this.push(timer);
    return timer;
  }

  private push(timer: VirtualTimer): void {
    let index = this.heap.push(timer) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (VirtualClock.isBefore(this.heap[parent]!, timer)) break;
      this.heap[index] = this.heap[parent]!;
      index = parent;
    }
    this.heap[index] = timer;
  }

  private popEarliest(): VirtualTimer {
    const first = this.heap[0]!;
    const moved = this.heap.pop()!;
    if (this.heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.heap.length) break;
      const right = this.heap[child + 1];
      if (right !== undefined && VirtualClock.isBefore(right, this.heap[child]!)) child += 1;
      if (VirtualClock.isBefore(moved, this.heap[child]!)) break;
      this.heap[index] = this.heap[child]!;
      index = child;
    }
    this.heap[index] = moved;
    return first;
  }

  private static isBefore(a: VirtualTimer, b: VirtualTimer): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }
}
