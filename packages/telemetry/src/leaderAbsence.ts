import type { Log } from '@lagoongap/model/log.js';

import type { CallFailureReason } from './callFailure.js';
import type { WorkflowMetricsRecorder } from './workflowMetricsRecorder.js';

/** Options of a {@link LeaderAbsence}. */
export interface LeaderAbsenceOptions {
  log: Log;
  meter: WorkflowMetricsRecorder;
}

/** One try of a call. */
export interface LeaderTry {
  /** Instance that was asked. */
  target: string;
  method: string;
  /** Monotonic time at which the try began. */
  sentMs: number;
}

/**
 * Measures for how long an instance has had no valid leader, from the results of its calls. A
 * period lasts from the start of the first failed try, but not from before the last response, to
 * the next response of a leader.
 */
export class LeaderAbsence {
  private readonly log: Log;
  private readonly meter: WorkflowMetricsRecorder;
  private beganMs: number | undefined;
  private countedUntilMs = 0;
  private totalMs = 0;
  private lastResponseMs = -Infinity;
  private readonly failures = new Map<CallFailureReason, number>();

  constructor({ log, meter }: LeaderAbsenceOptions) {
    this.log = log;
    this.meter = meter;
  }

  /** Total time without a valid leader in milliseconds. */
  get totalDurationMs(): number {
    return this.totalMs;
  }

  /** Records a failed try. */
  recordFailure(reason: CallFailureReason, { target, method, sentMs }: LeaderTry): void {
    this.meter.countTryFailure(reason);
    this.failures.set(reason, (this.failures.get(reason) ?? 0) + 1);
    if (this.beganMs === undefined) {
      // A call may wait at the leader for long while others are answered.
      this.beganMs = Math.max(sentMs, this.lastResponseMs);
      this.countedUntilMs = this.beganMs;
      this.meter.setLeaderAbsent(true);
      this.log.notice('no valid leader', { reason, target, method });
    }
    this.addElapsed();
  }

  /** Records a response of a valid leader. */
  recordResponse(leader: string): void {
    this.lastResponseMs = performance.now();
    if (this.beganMs === undefined) return;
    this.addElapsed();
    this.log.notice('valid leader found', {
      leader,
      absentMs: Math.round(performance.now() - this.beganMs),
      totalAbsentMs: Math.round(this.totalMs),
      failures: Object.fromEntries(this.failures),
    });
    this.meter.setLeaderAbsent(false);
    this.beganMs = undefined;
    this.failures.clear();
  }

  private addElapsed(): void {
    const nowMs = performance.now();
    const elapsedMs = Math.max(0, nowMs - this.countedUntilMs);
    this.totalMs += elapsedMs;
    this.meter.addLeaderAbsence(elapsedMs);
    this.countedUntilMs = nowMs;
  }
}
