/** Longest time for which a call waits; less than the time after which it is tried elsewhere. */
const MAX_WAIT_MS = 200;

/** Time before the deadline of a call at which it is refused, so that the refusal arrives. */
const REFUSAL_MS = 60;

/** Time between two checks while calls wait. */
const CHECK_INTERVAL_MS = 10;

interface WaitingCall {
  /** Monotonic time. */
  endMs: number;
  resolve: () => void;
}

/**
 * Holds calls to a replica that neither leads nor knows the leader. Refused at once, every call of
 * every instance would be repeated many times a second until the election is over, which delays the
 * election and the first work of the new leader.
 */
export class LeaderGate implements Disposable {
  /** Returns whether this replica can handle a call, or name the leader. */
  private readonly isDecided: () => boolean;
  private waiting: WaitingCall[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(isDecided: () => boolean) {
    this.isDecided = isDecided;
  }

  /**
   * Resolves when the leader is known, or after {@link MAX_WAIT_MS}.
   *
   * @param callEndMs - Monotonic time at which the call ends.
   */
  async wait(callEndMs: number): Promise<void> {
    const endMs = Math.min(performance.now() + MAX_WAIT_MS, callEndMs - REFUSAL_MS);
    if (this.isDecided() || performance.now() >= endMs) return;
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS);
    await new Promise<void>((resolve) => {
      this.waiting.push({ endMs, resolve });
    });
  }

  [Symbol.dispose](): void {
    this.release(() => true);
  }

  private check(): void {
    const isDecided = this.isDecided();
    const nowMs = performance.now();
    this.release(({ endMs }) => isDecided || nowMs >= endMs);
  }

  private release(isOver: (call: WaitingCall) => boolean): void {
    const over: WaitingCall[] = [];
    const kept: WaitingCall[] = [];
    for (const call of this.waiting) (isOver(call) ? over : kept).push(call);
    this.waiting = kept;
    if (this.waiting.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
    for (const { resolve } of over) resolve();
  }
}
