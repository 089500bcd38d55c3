import type { EndpointHeartbeat } from '@lagoongap/model/endpoint.js';
import type { Log } from '@lagoongap/model/log.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { AttemptRecord, FinishedAttempt } from '@lagoongap/state/records.js';
import type { Metrics } from '@lagoongap/telemetry/metrics.js';

import type { CommitQueue } from './commitQueue.js';
import { CRASH_SUSPICION_MS } from './coordinatorTiming.js';

/** Maximum number of suspects that a log line names. */
const MAX_LOGGED_SUSPECTS = 20;

/** Maximum number of charges that can be withdrawn; the oldest are dropped. */
const MAX_WITHDRAWABLE_CHARGES = 10_000;

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  state: ClusterState;
  commits: CommitQueue;
  metrics: Metrics;
  log: Log;
}

/** Time for which an attempt is known to have run, as seen by this leader. */
interface ObservedRun {
  startedAtMs: number;
  seenAtMs: number;
}

/** How it was noticed that an endpoint crashed. */
type CrashEvidence = 'restarted' | 'lease expired';

/**
 * Detects crashes of endpoints, and charges them to the attempts that had started shortly before. An endpoint has crashed if it announced itself anew and lists none
 * of the attempts of its earlier session, or if its lease expired. An endpoint that was leaving has
 * not crashed. A lease that expired may also be due to a partition, so the charge is withdrawn if
 * the endpoint reports on the attempt later.
 */
export class CrashDetector {
  private readonly opts: CrashDetectorOptions;
  private readonly runs = new Map<string, ObservedRun>();
  /** Session whose first heartbeat has been examined, by endpoint id. */
  private readonly examinedSessions = new Map<string, string>();
  /** Crash for which an attempt is a suspect, by attempt id; known before its end is committed. */
  private readonly charges = new Map<string, NonNullable<FinishedAttempt['crash']>>();
  /** Attempts charged with the expiry of a lease, by id. */
  private readonly withdrawable = new Map<string, AttemptRecord>();
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
    this.charges.delete(attemptId);
  }

  /** Forgets an attempt whose end has been committed. */
  removeAttempt(attemptId: string): void {
    this.runs.delete(attemptId);
    this.charges.delete(attemptId);
  }

  removeEndpoint(endpointId: string): void {
    this.examinedSessions.delete(endpointId);
  }

  /** Returns the end of an attempt with what it tells about crashes. */
  describeEnd(finished: FinishedAttempt): FinishedAttempt {
    const { attempt, outcome } = finished;
    const described = { ...finished };
    const crash = this.charges.get(attempt);
    if (crash && outcome === 'lost') described.crash = crash;
    if (this.hasWorked(attempt)) described.hasWorked = true;
    return described;
  }

  /** Examines the first heartbeat of each session for a crash that ended the earlier session. */
  examineHeartbeat(endpointId: string, heartbeat: EndpointHeartbeat): void {
    const { session, running, finished } = heartbeat;
    if (this.examinedSessions.get(endpointId) === session) return;
    this.examinedSessions.set(endpointId, session);
    const earlier = this.listAttempts(endpointId).filter(
      (attempt) => attempt.session !== undefined && attempt.session !== session,
    );
    const reported = [...running, ...finished].map(({ attempt }) => attempt);
    this.withdrawCharges(reported);
    // An endpoint that reports on an attempt of its earlier session has kept running.
    if (earlier.some(({ id }) => reported.includes(id))) return;
    this.recordCrash(endpointId, earlier, 'restarted');
  }

  /** Treats the expiry of the lease of an endpoint as a crash unless the endpoint was leaving. */
  examineExpiry(endpointId: string): void {
    if (this.opts.state.endpoints.get(endpointId)?.leaving) return;
    this.recordCrash(endpointId, this.listAttempts(endpointId), 'lease expired');
  }

  private recordCrash(endpointId: string, lost: AttemptRecord[], evidence: CrashEvidence): void {
    if (lost.length === 0) return;
    const { metrics, log } = this.opts;
    for (const { kind } of lost) metrics.countCrashLoss(kind);
    const suspects = lost.filter(({ id }) => !this.hasWorked(id));
    const units = new Set(suspects.map(({ unitId }) => unitId));
    for (const suspect of suspects) {
      // An attempt that this leader has not seen may never have been dispatched.
      const isSole = units.size === 1 && evidence === 'restarted' && this.runs.has(suspect.id);
      this.charges.set(suspect.id, { endpoint: endpointId, isSole });
      if (evidence === 'lease expired') this.addWithdrawable(suspect);
    }
    log.warn('endpoint crashed', {
      endpoint: endpointId,
      evidence,
      attempts: lost.length,
      suspects: suspects.length,
      units: [...units].slice(0, MAX_LOGGED_SUSPECTS),
    });
  }

  private addWithdrawable(attempt: AttemptRecord): void {
    this.withdrawable.set(attempt.id, attempt);
    if (this.withdrawable.size <= MAX_WITHDRAWABLE_CHARGES) return;
    this.withdrawable.delete(this.withdrawable.keys().next().value!);
  }

  private withdrawCharges(reported: string[]): void {
    const attempts = reported.flatMap((id) => this.withdrawable.get(id) ?? []);
    if (attempts.length === 0) return;
    for (const { id } of attempts) this.withdrawable.delete(id);
    const { commits, log } = this.opts;
    commits
      .commit({
        type: 'withdraw-crashes',
        attempts: attempts.map(({ id, unitId, kind, taskIndex }) => ({
          id,
          unitId,
          kind,
          taskIndex,
        })),
      })
      .catch((err: Error) => {
        log.warn('could not withdraw crashes', { attempts: attempts.length, err: err.message });
      });
  }

  /** Returns whether an attempt ran long enough not to be taken as the cause of a crash. */
  hasWorked(attemptId: string): boolean {
    const run = this.runs.get(attemptId);
    return run !== undefined && run.seenAtMs - run.startedAtMs >= CRASH_SUSPICION_MS;
  }

  private listAttempts(endpointId: string): AttemptRecord[] {
    const { attempts } = this.opts.state;
    return [...attempts.listByEndpoint(endpointId)].map((id) => attempts.get(id)!);
  }
}
