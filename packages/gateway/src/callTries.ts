import { toError } from '@lagoongap/model/toError.js';

/** How one try of a call ended. */
export type TryOutcome = {
  target: string;
  /** Monotonic time at which the try was sent. */
  sentMs: number;
} & ({ result: unknown } | { err: Error });

/** The tries of one call. An unanswered try stays pending: its late response still counts. */
export class CallTries {
  private readonly outcomes: TryOutcome[] = [];
  private added = 0;
  private pending = 0;
  private wake: (() => void) | undefined;

  get count(): number {
    return this.added;
  }

  /** Number of tries without an outcome. */
  get pendingCount(): number {
    return this.pending;
  }

  add(target: string, response: Promise<unknown>): void {
    const sentMs = performance.now();
    this.added += 1;
    this.pending += 1;
    response.then(
      (result) => this.settle({ target, sentMs, result }),
      (reason) => this.settle({ target, sentMs, err: toError(reason) }),
    );
  }

  /** Resolves with the next outcome of any try, or with undefined after `timeoutMs`. */
  async next(timeoutMs: number): Promise<TryOutcome | undefined> {
    if (this.outcomes.length === 0) await this.waitForOutcome(timeoutMs);
    return this.outcomes.shift();
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
    this.pending -= 1;
    this.outcomes.push(outcome);
    this.wake?.();
  }
}
