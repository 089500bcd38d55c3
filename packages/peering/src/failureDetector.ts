/** Observed state of an instance; it is suspect until its first frame. */
export type Liveness = 'alive' | 'suspect';

/** Change in the liveness of one instance. */
export interface LivenessChange {
  instanceId: string;
  liveness: Liveness;
}

interface ObservedInstance {
  /** Monotonic time of the last frame. */
  lastFrameAtMs: number;
  liveness: Liveness;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Timeout-based failure detector: an instance is alive as long as frames from it keep arriving. It
 * sends nothing itself; the pings of the connections provide frames while there is no other
 * traffic.
 */
export class FailureDetector implements Disposable {
  private readonly timeoutMs: number;
  private readonly instances = new Map<string, ObservedInstance>();
  private readonly listeners = new Set<(change: LivenessChange) => void>();

  /** @param timeoutMs - Time without a frame after which an instance is suspect. */
  constructor(timeoutMs: number) {
    this.timeoutMs = timeoutMs;
  }

  /** Records the arrival of a frame from the instance. */
  recordFrame(instanceId: string): void {
    const instance = this.instances.get(instanceId);
    if (instance?.liveness === 'alive') {
      instance.lastFrameAtMs = performance.now();
      return;
    }
    const observed: ObservedInstance = {
      lastFrameAtMs: performance.now(),
      liveness: 'alive',
      timer: undefined,
    };
    this.instances.set(instanceId, observed);
    this.scheduleTimeoutCheck(instanceId, observed, this.timeoutMs);
    this.emit({ instanceId, liveness: 'alive' });
  }

  /** Returns the current liveness, even if listeners have not been notified of it yet. */
  livenessOf(instanceId: string): Liveness {
    const instance = this.instances.get(instanceId);
    if (!instance) return 'suspect';
    return performance.now() - instance.lastFrameAtMs < this.timeoutMs ? 'alive' : 'suspect';
  }

  /** Adds a listener and returns a function that removes it. */
  onChange(listener: (change: LivenessChange) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  [Symbol.dispose](): void {
    for (const { timer } of this.instances.values()) clearTimeout(timer);
    this.instances.clear();
    this.listeners.clear();
  }

  private scheduleTimeoutCheck(
    instanceId: string,
    instance: ObservedInstance,
    delayMs: number,
  ): void {
    instance.timer = setTimeout(() => this.check(instanceId, instance), delayMs);
    instance.timer.unref();
  }

  private check(instanceId: string, instance: ObservedInstance): void {
    const remainingMs = instance.lastFrameAtMs + this.timeoutMs - performance.now();
    if (remainingMs > 0) {
      this.scheduleTimeoutCheck(instanceId, instance, Math.ceil(remainingMs));
      return;
    }
    instance.liveness = 'suspect';
    this.emit({ instanceId, liveness: 'suspect' });
  }

  private emit(change: LivenessChange): void {
    for (const listener of this.listeners) listener(change);
  }
}
