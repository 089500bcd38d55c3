import type { EndpointHeartbeat } from '@lagoongap/model/endpoint.js';
import type { Log } from '@lagoongap/model/log.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { AttemptRecord } from '@lagoongap/state/records.js';
import type { Metrics } from '@lagoongap/telemetry/metrics.js';

import { CRASH_SUSPICION_MS } from './coordinatorTiming.js';

/** Maximum number of suspects that a log line names. */
const MAX_LOGGED_SUSPECTS = 20;

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  state: ClusterState;
  metrics: Metrics;
  log: Log;
}

/** Time for which an attempt is known to have run, as seen by this leader. */
interface ObservedRun {
  startedAtMs: number;
  seenAtMs: number;
}

/**
 * Detects crashes of endpoints. An endpoint has crashed if it announced itself anew and lists none
 * of the attempts of its earlier session, or if its lease expired. An endpoint that was leaving has
 * not crashed.
 */
export class CrashDetector {
  private readonly opts: CrashDetectorOptions;
  private readonly runs = new Map<string, ObservedRun>();
  /** Session whose first heartbeat has been examined, by endpoint id. */
  private readonly examinedSessions = new Map<string, string>();
  private readonly electedAtMs = performance.now();

  constructor(opts: CrashDetectorOptions) {
    this.opts = opts;
  }

  /** Records that an attempt was committed and may be dispatched. */
  recordStart(attemptId: string): void {
    const nowMs = performance.now();
    this.runs.set(attemptId, { startedAtMs: nowMs, seenAtMs: nowMs });
  }

  /** Records that a heartbeat lists an attempt. */
  recordRunning(attemptId: string): void {
    const startedAtMs = this.runs.get(attemptId)?.startedAtMs ?? this.electedAtMs;
    this.runs.set(attemptId, { startedAtMs, seenAtMs: performance.now() });
  }

  /** Forgets an attempt whose end has been committed. */
  removeAttempt(attemptId: string): void {
    this.runs.delete(attemptId);
  }

  removeEndpoint(endpointId: string): void {
    this.examinedSessions.delete(endpointId);
  }

  /** Examines the first heartbeat of each session for a crash that ended the earlier session. */
  examineHeartbeat(endpointId: string, heartbeat: EndpointHeartbeat): void {
    const { session, running, finished } = heartbeat;
    if (this.examinedSessions.get(endpointId) === session) return;
    this.examinedSessions.set(endpointId, session);
    const earlier = this.listAttempts(endpointId).filter(
      (attempt) => attempt.session !== undefined && attempt.session !== session,
    );
    // An endpoint that reports on an attempt of its earlier session has kept running.
    const reported = new Set([...running, ...finished].map(({ attempt }) => attempt));
    if (earlier.some(({ id }) => reported.has(id))) return;
    this.recordCrash(endpointId, earlier, 'restarted');
  }

  /** Treats the expiry of the lease of an endpoint as a crash unless the endpoint was leaving. */
  examineExpiry(endpointId: string): void {
    if (this.opts.state.endpoints.get(endpointId)?.leaving) return;
    this.recordCrash(endpointId, this.listAttempts(endpointId), 'lease expired');
  }

  private recordCrash(endpointId: string, lost: AttemptRecord[], evidence: string): void {
    if (lost.length === 0) return;
    const { metrics, log } = this.opts;
    for (const { kind } of lost) metrics.countCrashLoss(kind);
    const suspects = lost.filter(({ id }) => !this.hasWorked(id));
    log.warn('endpoint crashed', {
      endpoint: endpointId,
      evidence,
      attempts: lost.length,
      suspects: suspects.length,
      units: suspects.slice(0, MAX_LOGGED_SUSPECTS).map(({ unitId }) => unitId),
    });
  }

  /** Returns whether an attempt ran long enough not to be taken as the cause of a crash. */
  private hasWorked(attemptId: string): boolean {
    const run = this.runs.get(attemptId);
    return run !== undefined && run.seenAtMs - run.startedAtMs >= CRASH_SUSPICION_MS;
  }

  private listAttempts(endpointId: string): AttemptRecord[] {
    const { attempts } = this.opts.state;
    return [...attempts.listByEndpoint(endpointId)].map((id) => attempts.get(id)!);
  }
}
