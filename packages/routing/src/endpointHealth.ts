/** Health state of an endpoint. */
export type EndpointHealthState = 'good' | 'ejected' | 'awaiting-trial' | 'on-trial';

/** Maximum number of failed units that are kept for one endpoint. */
const MAX_FAILED_UNITS = 16;

/** Failures, probation and trial of one endpoint. */
export class EndpointHealth {
  state: EndpointHealthState = 'good';
  works: readonly string[] = [];
  /** Number of ejections in a row, which determines the length of the probation. */
  ejections = 0;
  /** Monotonic time of the last reinstatement, in milliseconds. */
  goodSinceMs = -Infinity;
  /** Monotonic time of the last ejection, in milliseconds. */
  ejectedAtMs = -Infinity;
  /** Monotonic time at which the probation ends, in milliseconds. */
  probationEndsAtMs = 0;
  trialAttempt: string | undefined;
  /** Monotonic time of the start of the trial, in milliseconds. */
  trialStartedMs = Infinity;
  timer: NodeJS.Timeout | undefined;
  /** Units that failed since the last success. */
  private readonly failedUnits = new Set<string>();
  private longestFailedMs = 0;
  /** Monotonic times of the starts of attempts that have not ended, in milliseconds. */
  private readonly startsMs = new Map<string, number>();

  constructor(readonly id: string) {}

  /** Whether the endpoint gets no new work. */
  get isEjected(): boolean {
    return this.state === 'ejected' || this.state === 'on-trial';
  }

  /** Number of different units that failed since the last success. */
  get failureCount(): number {
    return this.failedUnits.size;
  }

  /** Number of different units other than `unitId` that failed since the last success. */
  countOtherFailures(unitId: string): number {
    return this.failedUnits.size - (this.failedUnits.has(unitId) ? 1 : 0);
  }

  /** Longest time after which an attempt failed since the last success, in milliseconds. */
  get longestFailureMs(): number {
    return this.longestFailedMs;
  }

  /** Records the start of an attempt and returns its monotonic time. */
  beginAttempt(attemptId: string): number {
    const startedMs = performance.now();
    this.startsMs.set(attemptId, startedMs);
    return startedMs;
  }

  /** Records the end of an attempt; returns its monotonic start time if that is known. */
  endAttempt(attemptId: string): number | undefined {
    const startedMs = this.startsMs.get(attemptId);
    this.startsMs.delete(attemptId);
    return startedMs;
  }

  /** Adds the failure of a unit, whose attempt had run for `ranMs`. */
  addFailure(unitId: string, ranMs: number): void {
    if (this.failedUnits.size < MAX_FAILED_UNITS) this.failedUnits.add(unitId);
    this.longestFailedMs = Math.max(this.longestFailedMs, ranMs);
  }

  removeFailure(unitId: string): boolean {
    return this.failedUnits.delete(unitId);
  }

  clearFailures(): void {
    this.failedUnits.clear();
    this.longestFailedMs = 0;
  }

  /** Stops the timer of the current probation or trial. */
  stopTimer(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
