/** Time for which an endpoint gets no order of a step after its first rejection. */
const FIRST_DELAY_MS = 200;

const MAX_DELAY_MS = 2000;

/** Time without a rejection after which earlier ones no longer count. */
const FORGET_AFTER_MS = 10_000;

interface Rejections {
  count: number;
  lastMs: number;
}

/**
 * Keeps a step from choosing an endpoint again that has just rejected one of its orders. The delay
 * doubles with each rejection.
 */
export class RejectionBackoff {
  private readonly steps = new Map<string, Map<string, Rejections>>();

  /** Records a rejected start order. */
  record(step: string, endpoint: string): void {
    const nowMs = performance.now();
    const endpoints = this.steps.get(step) ?? new Map<string, Rejections>();
    const known = endpoints.get(endpoint);
    const isRecent = known !== undefined && nowMs - known.lastMs < FORGET_AFTER_MS;
    endpoints.set(endpoint, { count: isRecent ? known.count + 1 : 1, lastMs: nowMs });
    this.steps.set(step, endpoints);
  }

  /** Returns whether an endpoint gets no order of a step at present. */
  isDelayed(step: string, endpoint: string, nowMs: number): boolean {
    const rejections = this.steps.get(step)?.get(endpoint);
    if (!rejections) return false;
    const delayMs = FIRST_DELAY_MS * 2 ** (rejections.count - 1);
    return nowMs - rejections.lastMs < Math.min(MAX_DELAY_MS, delayMs);
  }

  /** Discards the rejections of a step that has ended. */
  forgetStep(step: string): void {
    this.steps.delete(step);
  }
}
