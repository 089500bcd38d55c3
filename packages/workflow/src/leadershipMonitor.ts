import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { Log } from '@lagoongap/model/log.js';
import type { WorkflowMetricsRecorder } from '@lagoongap/telemetry/workflowMetricsRecorder.js';

/** Options of a {@link LeadershipMonitor}. */
export interface LeadershipMonitorOptions {
  replicatedLog: ReplicatedLog;
  /** Duration of the leader's validity in milliseconds, if known. */
  validityMs?: number;
  /** Returns whether the process has not been suspended recently, if known. */
  isClockReliable?: () => boolean;
  log: Log;
  meter: WorkflowMetricsRecorder;
  /** Returns whether the leadership of this instance is valid. */
  isValid: () => boolean;
}

/** Time between two observations. */
const INTERVAL_MS = 20;

/** Event-loop delay from which a line is logged. */
const LOGGED_DELAY_MS = 70;

/** Observes the event-loop delay of the leader, and for how long its leadership is not valid. */
export class LeadershipMonitor implements Disposable {
  private readonly opts: LeadershipMonitorOptions;
  private readonly timer: NodeJS.Timeout;
  private expectedMs = performance.now() + INTERVAL_MS;
  private invalidSinceMs: number | undefined;
  /** Event-loop delay at the latest observation. */
  private lastDelayMs = 0;

  constructor(opts: LeadershipMonitorOptions) {
    this.opts = opts;
    this.timer = setInterval(() => this.observe(), INTERVAL_MS);
  }

  /** Returns log fields that explain whether the leadership is valid at this moment. */
  describe(): Record<string, unknown> {
    const { replicatedLog, validityMs, isClockReliable } = this.opts;
    const nowMs = performance.now();
    const contactAgoMs = nowMs - replicatedLog.quorumContactMs;
    const pendingDelayMs = nowMs - this.expectedMs;
    return {
      role: replicatedLog.role,
      term: replicatedLog.term,
      quorumContactAgoMs: Number.isFinite(contactAgoMs) ? Math.round(contactAgoMs) : undefined,
      validityLeftMs:
        validityMs !== undefined && Number.isFinite(contactAgoMs)
          ? Math.round(validityMs - contactAgoMs)
          : undefined,
      isClockReliable: isClockReliable?.(),
      eventLoopDelayMs: Math.round(Math.max(0, this.lastDelayMs, pendingDelayMs)),
    };
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.endInvalidPeriod();
  }

  private observe(): void {
    const nowMs = performance.now();
    const delayMs = Math.max(0, nowMs - this.expectedMs);
    this.expectedMs = nowMs + INTERVAL_MS;
    this.lastDelayMs = delayMs;
    this.opts.meter.observeEventLoopDelay(delayMs);
    if (delayMs >= LOGGED_DELAY_MS) {
      this.opts.log.warn('event loop was blocked', { blockedMs: Math.round(delayMs) });
    }
    if (this.opts.isValid()) {
      this.endInvalidPeriod();
    } else if (this.invalidSinceMs === undefined) {
      this.invalidSinceMs = nowMs;
      this.opts.log.warn('leadership is not valid', this.describe());
    }
  }

  private endInvalidPeriod(): void {
    if (this.invalidSinceMs === undefined) return;
    const durationMs = performance.now() - this.invalidSinceMs;
    this.invalidSinceMs = undefined;
    this.opts.meter.addInvalidLeadership(durationMs);
    this.opts.log.notice('leadership was not valid', { durationMs: Math.round(durationMs) });
  }
}
