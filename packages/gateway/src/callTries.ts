import { toError } from '@lagoongap/model/toError.js';

/** How one try of a call ended. */
export type TryOutcome = {
  target: string;
  /** Monotonic time at which the try was sent. */
  sentMs: number;
} & ({ result: unknown } | { err: Error });

/** A try whose outcome has not been returned yet. */
export interface PendingTry {
  target: string;
  /** Monotonic time at which the try was sent. */
  sentMs: number;
}

/** The tries of one call. An unanswered try stays pending: its late response still counts. */
export class CallTries {
  private readonly outcomes: TryOutcome[] = [];
  private added = 0;
  private readonly pending: PendingTry[] = [];
  private wake: (() => void) | undefined;

  get count(): number {
    return this.added;
  }

  /** Whether a try has ended whose outcome has not been returned yet. */
  get hasOutcome(): boolean {
    return this.outcomes.length > 0;
  }

  /** Number of tries whose outcome has not been returned yet. */
  get pendingCount(): number {
    return this.pending.length;
  }

  /** Returns the tries whose outcome has not been returned yet. */
  listPending(): readonly PendingTry[] {
    return this.pending;
  }

  /** Returns whether a try at a replica is pending. */
  isPendingAt(target: string): boolean {
    return this.pending.some((it) => it.target === target);
  }

  add(target: string, response: Promise<unknown>): void {
    const sentMs = performance.now();
    this.added += 1;
    this.pending.push({ target, sentMs });
    response.then(
      (result) => this.settle({ target, sentMs, result }),
      (reason) => this.settle({ target, sentMs, err: toError(reason) }),
    );
  }

  /** Resolves with the next outcome of any try, or with undefined after `timeoutMs`. */
  async next(timeoutMs: number): Promise<TryOutcome | undefined> {
    if (!this.hasOutcome) await this.waitForOutcome(timeoutMs);
    const outcome = this.outcomes.shift();
    const index = this.pending.findIndex(({ target }) => target === outcome?.target);
    if (index >= 0) this.pending.splice(index, 1);
    return outcome;
  }

  private waitForOutcome(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, timeoutMs));
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private settle(outcome: TryOutcome): void {
    this.outcomes.push(outcome);
    this.wake?.();
  }
}
