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
  private readonly pendingTargets: string[] = [];
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
    return this.pendingTargets.length;
  }

  /** Returns whether a try at a replica is pending. */
  isPendingAt(target: string): boolean {
    return this.pendingTargets.includes(target);
  }

  add(target: string, response: Promise<unknown>): void {
    const sentMs = performance.now();
    this.added += 1;
    this.pendingTargets.push(target);
    response.then(
      (result) => this.settle({ target, sentMs, result }),
      (reason) => this.settle({ target, sentMs, err: toError(reason) }),
    );
  }

  /** Resolves with the next outcome of any try, or with undefined after `timeoutMs`. */
  async next(timeoutMs: number): Promise<TryOutcome | undefined> {
    if (!this.hasOutcome) await this.waitForOutcome(timeoutMs);
    const outcome = this.outcomes.shift();
    if (outcome) this.pendingTargets.splice(this.pendingTargets.indexOf(outcome.target), 1);
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
