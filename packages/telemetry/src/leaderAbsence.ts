import type { Log } from '@lagoongap/model/log.js';

import type { CallFailureReason } from './callFailure.js';
import type { WorkflowMetricsRecorder } from './workflowMetrics.js';

/** Options of a {@link LeaderAbsence}. */
export interface LeaderAbsenceOptions {
  log: Log;
  meter: WorkflowMetricsRecorder;
}

/**
 * Measures for how long an instance has had no valid leader, from the results of its calls. A
 * period lasts from the start of the first failed try to the next response of a leader.
 */
export class LeaderAbsence {
  private readonly log: Log;
  private readonly meter: WorkflowMetricsRecorder;
  private beganMs: number | undefined;
  private countedUntilMs = 0;
  private totalMs = 0;
  private readonly failures = new Map<CallFailureReason, number>();

  constructor({ log, meter }: LeaderAbsenceOptions) {
    this.log = log;
    this.meter = meter;
  }

  /** Total time without a valid leader in milliseconds. */
  get totalDurationMs(): number {
    return this.totalMs;
  }

  /** Records a try at `target` that began at the monotonic time `sentMs` and failed. */
  recordFailure(reason: CallFailureReason, target: string | undefined, sentMs: number): void {
    this.meter.countTryFailure(reason);
    this.failures.set(reason, (this.failures.get(reason) ?? 0) + 1);
    if (this.beganMs === undefined) {
      this.beganMs = sentMs;
      this.countedUntilMs = sentMs;
      this.meter.setLeaderAbsent(true);
      this.log.notice('no valid leader', { reason, target });
    }
    this.addElapsed();
  }

  /** Records a response of a valid leader. */
  recordResponse(leader: string): void {
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
