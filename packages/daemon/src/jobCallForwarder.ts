import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import type { Log } from '@lagoongap/model/log.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { CallFailureReason } from '@lagoongap/telemetry/callFailure.js';
import type { JobCall, JobResponse } from '@lagoongap/workflow/jobCalls.js';

import { TRY_TIMEOUT_MS } from './workflowPeers.js';

/** Response of the gateway: the leader's response, or the reason why there is none. */
export type GatewayResponse =
  | JobResponse
  /** The job was not accepted and will not run. */
  | { type: 'refused'; retryAfterMs: number; reason: string }
  /** No leader accepted the call; nothing was changed. */
  | { type: 'unavailable'; retryAfterMs: number; reason?: CallFailureReason }
  /** The outcome is unknown: the call may have been applied. */
  | { type: 'unknown'; reason?: CallFailureReason };

/** Time after which a caller may retry when there is no leader. */
const RETRY_AFTER_MS = 1000;

/** Forwards the calls of callers to the leader. */
export class JobCallForwarder {
  private readonly leader: LeaderClient;
  private readonly log: Log;

  constructor(leader: LeaderClient, log: Log) {
    this.leader = leader;
    this.log = log;
  }

  /** Resolves with a response within `deadlineMs`. */
  async call(call: JobCall, deadlineMs: number): Promise<GatewayResponse> {
    const receivedMs = performance.now();
    try {
      return await this.leader.call<JobResponse>('jobs.call', call, {
        deadlineMs,
        tryTimeoutMs: TRY_TIMEOUT_MS,
      });
    } catch (err) {
      const refusal = err instanceof RefusalError ? err.refusal : undefined;
      if (refusal?.type === 'over-limit' && refusal.runState === 'not-run') {
        const { retryAfterMs = RETRY_AFTER_MS, message } = refusal;
        return { type: 'refused', retryAfterMs, reason: message };
      }
      const details = refusal?.details as { reason?: CallFailureReason } | undefined;
      const reason = details?.reason ?? 'failed';
      const isUnknown = refusal?.runState !== 'not-run' && call.operation !== 'read';
      this.log.warn('call to the leader failed', {
        operation: call.operation,
        path: call.path,
        runState: refusal?.runState,
        reason,
        heldMs: Math.round(performance.now() - receivedMs),
        err: (err as Error).message,
      });
      return isUnknown
        ? { type: 'unknown', reason }
        : { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS, reason };
    }
  }
}
