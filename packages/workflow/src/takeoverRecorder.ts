import type { Log } from '@lagoongap/model/log.js';
import type { TakeoverPhase } from '@lagoongap/telemetry/callFailure.js';
import type { WorkflowMetricsRecorder } from '@lagoongap/telemetry/workflowMetricsRecorder.js';

/** Records the phases of a leadership, measured from its election, and the calls that it handles. */
export class TakeoverRecorder {
  private readonly log: Log;
  private readonly meter: WorkflowMetricsRecorder;
  private readonly electedMs: number;
  private readonly reached = new Set<TakeoverPhase>();

  /** @param electedMs - Monotonic time of the election. */
  constructor(log: Log, meter: WorkflowMetricsRecorder, electedMs: number) {
    this.log = log;
    this.meter = meter;
    this.electedMs = electedMs;
  }

  /** Records that a phase has been reached; does nothing after the first time. */
  recordReached(phase: TakeoverPhase): void {
    if (this.reached.has(phase)) return;
    this.reached.add(phase);
    const durationMs = performance.now() - this.electedMs;
    this.meter.observeTakeover(phase, durationMs);
    this.log.notice('take-over phase reached', { phase, sinceElectionMs: Math.round(durationMs) });
  }

  /** Runs the handler of a call, and records its duration. */
  async measureCall(method: string, handle: () => unknown): Promise<unknown> {
    const startMs = performance.now();
    let isAnswered = false;
    try {
      const response = await handle();
      isAnswered = true;
      if (method === 'jobs.call') this.recordReached('first-response');
      return response;
    } finally {
      this.meter.observeLeaderCall(method, isAnswered, performance.now() - startMs);
    }
  }
}
