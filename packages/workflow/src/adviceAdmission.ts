/** A call to the advisor that an instance makes or is about to make. */
export interface AdviceCall {
  /** Lower values are more urgent. */
  priority: number;
  /** Expected duration in milliseconds. */
  callMs: number;
}

interface CallLoad {
  /** Exponentially decaying sum of the call times, in milliseconds. */
  sumMs: number;
  /** Exponentially decaying number of calls. */
  count: number;
  /** Call time that was requested within about {@link BURST_DELAY_MS}. */
  burstMs: number;
  /** Largest recent `burstMs`, decaying. */
  peakMs: number;
  /** Monotonic time of the latest request among the calls. */
  requestedMs: number;
  /** Monotonic time of the last update. */
  atMs: number;
}

/** Time constant with which the load of a priority decays. */
const LOAD_WINDOW_MS = 5000;

/** Time in which the calls of a burst of urgent steps should be made; below half their target. */
const BURST_DELAY_MS = 100;

/** Number of recent calls below which a priority counts as idle; 12 s after a single one. */
const MIN_COUNT = 0.1;

/** Time after its last poll for which an instance counts; longer than a call and a poll. */
const INSTANCE_TIMEOUT_MS = 5000;

/** A call is long for another one if it takes at least this multiple of its time. */
const LONG_CALL_FACTOR = 4;

/** Largest part of the instances that is kept from long calls. */
const MAX_KEPT_SHARE = 0.5;

/**
 * Decides whether a long call may occupy another instance. A call of the urgent class takes 30 to
 * 70 ms, one of a patient class 400 to 1000 ms: if all instances are busy with long calls, an urgent
 * one waits for up to a second. Some instances are therefore kept from calls that are long compared
 * with those of a more urgent priority: as many as make the calls of its largest recent burst within
 * {@link BURST_DELAY_MS}, and at most half of the instances. Without urgent load, long calls may
 * occupy all instances.
 */
export class AdviceAdmission {
  private readonly loads = new Map<number, CallLoad>();
  /** Monotonic time of the last poll, by instance. */
  private readonly polledMs = new Map<string, number>();
  private readonly calls = new Map<number, AdviceCall>();

  /** Records that an instance polls for a query. */
  recordPoll(instance: string): void {
    this.polledMs.set(instance, performance.now());
  }

  /**
   * Records a call that begins. Bursts are recognised by the time of the request, however long it
   * waited; requests that are dropped do not count.
   */
  begin(id: number, call: AdviceCall, requestedMs: number): void {
    this.calls.set(id, call);
    const load = this.readLoad(call.priority);
    load.sumMs += call.callMs;
    load.count += 1;
    const pauseMs = Math.max(0, requestedMs - load.requestedMs);
    load.requestedMs = Math.max(requestedMs, load.requestedMs);
    load.burstMs = load.burstMs * Math.exp(-pauseMs / BURST_DELAY_MS) + call.callMs;
    load.peakMs = Math.max(load.peakMs, load.burstMs);
  }

  /** Records that a call has ended or its instance has failed. */
  end(id: number): void {
    this.calls.delete(id);
  }

  /** Returns whether a call may occupy another instance now. */
  admits({ priority, callMs }: AdviceCall): boolean {
    const urgent = this.findUrgentLoad(priority, callMs);
    if (urgent.peakMs === 0) return true;
    const instances = this.countInstances();
    const kept = Math.min(
      Math.floor(instances * MAX_KEPT_SHARE),
      Math.ceil(urgent.peakMs / BURST_DELAY_MS),
    );
    let longCalls = 0;
    for (const call of this.calls.values()) {
      if (call.callMs >= urgent.callMs * LONG_CALL_FACTOR) longCalls += 1;
    }
    return longCalls < instances - kept;
  }

  /** Number of instances that have polled recently. */
  countInstances(): number {
    const nowMs = performance.now();
    for (const [instance, polledMs] of this.polledMs) {
      if (nowMs - polledMs > INSTANCE_TIMEOUT_MS) this.polledMs.delete(instance);
    }
    return this.polledMs.size;
  }

  /** Returns the bursts of more urgent priorities for which a call is long. */
  private findUrgentLoad(priority: number, callMs: number): { peakMs: number; callMs: number } {
    const found = { peakMs: 0, callMs: 0 };
    for (const urgent of this.loads.keys()) {
      if (urgent >= priority) continue;
      const { sumMs, count, peakMs } = this.readLoad(urgent);
      const meanMs = sumMs / count;
      if (count < MIN_COUNT || callMs < meanMs * LONG_CALL_FACTOR) continue;
      found.peakMs += peakMs;
      found.callMs = Math.max(found.callMs, meanMs);
    }
    return found;
  }

  private readLoad(priority: number): CallLoad {
    const nowMs = performance.now();
    let load = this.loads.get(priority);
    if (!load) {
      load = { sumMs: 0, count: 0, burstMs: 0, peakMs: 0, requestedMs: 0, atMs: nowMs };
      this.loads.set(priority, load);
    }
    const decay = Math.exp((load.atMs - nowMs) / LOAD_WINDOW_MS);
    load.sumMs *= decay;
    load.count *= decay;
    load.peakMs *= decay;
    load.atMs = nowMs;
    return load;
  }
}
