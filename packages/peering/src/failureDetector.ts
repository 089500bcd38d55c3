/** What is known about an instance; it is suspect until its first frame. */
export type Liveness = 'alive' | 'suspect';

/** Change of the liveness of one instance. */
export interface LivenessChange {
  instanceId: string;
  liveness: Liveness;
}

interface ObservedInstance {
  /** Time of the last frame on the monotonic clock. */
  lastFrameAtMs: number;
  liveness: Liveness;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Tells from the frames of an instance whether it is alive. It sends nothing itself: pings keep
 * frames coming while there is no other traffic.
 */
export class FailureDetector implements Disposable {
  private readonly boundMs: number;
  private readonly instances = new Map<string, ObservedInstance>();
  private readonly listeners = new Set<(change: LivenessChange) => void>();

  /** @param boundMs - Time without a frame after which an instance is suspect. */
  constructor(boundMs: number) {
    this.boundMs = boundMs;
  }

  /** Notes that a frame has arrived from the instance. */
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
    this.scheduleCheck(instanceId, observed, this.boundMs);
    this.emit({ instanceId, liveness: 'alive' });
  }

  /** Returns the liveness at this moment, even if listeners have not been told yet. */
  livenessOf(instanceId: string): Liveness {
    const instance = this.instances.get(instanceId);
    if (!instance) return 'suspect';
    return performance.now() - instance.lastFrameAtMs < this.boundMs ? 'alive' : 'suspect';
  }

  /** Adds a listener; returns a function that removes it. */
  onChange(listener: (change: LivenessChange) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  [Symbol.dispose](): void {
    for (const { timer } of this.instances.values()) clearTimeout(timer);
    this.instances.clear();
    this.listeners.clear();
  }

  private scheduleCheck(instanceId: string, instance: ObservedInstance, delayMs: number): void {
    instance.timer = setTimeout(() => this.check(instanceId, instance), delayMs);
    instance.timer.unref();
  }

  private check(instanceId: string, instance: ObservedInstance): void {
    const leftMs = instance.lastFrameAtMs + this.boundMs - performance.now();
    if (leftMs > 0) {
      this.scheduleCheck(instanceId, instance, Math.ceil(leftMs));
      return;
    }
    instance.liveness = 'suspect';
    this.emit({ instanceId, liveness: 'suspect' });
  }

  private emit(change: LivenessChange): void {
    for (const listener of this.listeners) listener(change);
  }
}
