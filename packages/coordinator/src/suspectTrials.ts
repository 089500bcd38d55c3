import type { Log } from '@lagoongap/model/log.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import { isSuspectUnit } from '@lagoongap/state/crashHistory.js';
import type { AttemptRecord } from '@lagoongap/state/records.js';

import { MAX_SUSPECT_HOLD_MS } from './coordinatorTiming.js';
import type { CrashDetector } from './crashDetector.js';
import { createUnitId } from './unitId.js';

/** Maximum share of the ready endpoints on which suspects run at a time, but at least one. */
const MAX_TRIAL_SHARE = 0.2;

/** Maximum share of the ready endpoints that are reserved for suspects. */
const MAX_RESERVED_SHARE = 0.5;

/** Time for which a suspect that waits for a placement holds up the next suspect. */
const MAX_PLACEMENT_WAIT_MS = 10_000;

/** Waiting unit of a job that was a suspect in a crash of an endpoint. */
export interface Suspect {
  unitId: string;
  /** Adds the unit to its queue. */
  enqueue: () => void;
  /** Returns whether the unit still waits to be started. */
  isWaiting: () => boolean;
  /** Returns whether the unit still has to be started apart from other work. */
  isSuspect: () => boolean;
}

interface TimedSuspect {
  suspect: Suspect;
  sinceMs: number;
}

/** Options of {@link SuspectTrials}. */
export interface SuspectTrialsOptions {
  state: ClusterState;
  crashes: CrashDetector;
  countReadyEndpoints: () => number;
  /** Called when an endpoint has become reserved or is no longer reserved. */
  onReservationChange: (endpointId: string) => void;
  log: Log;
}

/**
 * Starts suspects of crashes one after another, each on an endpoint that gets no other work until
 * the suspect has worked for a while or has ended, so that a further crash has one explanation.
 */
export class SuspectTrials {
  private readonly opts: SuspectTrialsOptions;
  /** Suspects that are held back, in order. */
  private readonly pending = new Map<string, TimedSuspect>();
  /** Suspect that waits for a placement. */
  private placing: TimedSuspect | undefined;
  /** Endpoint of each running attempt, by suspect and attempt id. */
  private readonly running = new Map<string, Map<string, string>>();
  private readonly reserved = new Set<string>();

  constructor(opts: SuspectTrialsOptions) {
    this.opts = opts;
  }

  /** Returns whether an endpoint must get no other work. */
  isReserved(endpointId: string): boolean {
    return this.reserved.has(endpointId);
  }

  /** Adds a suspect; it is enqueued when its turn comes. */
  submit(suspect: Suspect): void {
    if (this.placing?.suspect.unitId === suspect.unitId) this.placing = undefined;
    // Ordered by time, also if the unit is held back already.
    this.pending.delete(suspect.unitId);
    this.pending.set(suspect.unitId, { suspect, sinceMs: performance.now() });
    this.startNext();
  }

  /** Reserves the endpoint of an attempt that was committed if it is that of a suspect. */
  handleStarted(attempt: AttemptRecord): void {
    const unitId = createUnitId(attempt);
    if (!this.isSuspect(attempt) && this.placing?.suspect.unitId !== unitId) return;
    const attempts = this.running.get(unitId) ?? new Map<string, string>();
    this.running.set(unitId, attempts.set(attempt.id, attempt.endpointId));
    this.reserve(attempt.endpointId, unitId);
    if (this.placing?.suspect.unitId === unitId) this.placing = undefined;
    this.startNext();
  }

  /** Called when the end of an attempt has been committed. */
  handleClosed(attempt: AttemptRecord): void {
    const unitId = createUnitId(attempt);
    const attempts = this.running.get(unitId);
    if (!attempts?.delete(attempt.id)) return;
    if (attempts.size === 0) this.running.delete(unitId);
    this.releaseEndpoints([attempt.endpointId]);
    this.startNext();
  }

  /** Ends the trials of suspects that have worked for a while. */
  sweep(nowMs: number): void {
    for (const [unitId, attempts] of this.running) {
      if (![...attempts.keys()].every((id) => this.opts.crashes.hasWorked(id))) continue;
      this.running.delete(unitId);
      this.releaseEndpoints(attempts.values());
    }
    if (this.placing) {
      const { suspect, sinceMs } = this.placing;
      const isOverdue = nowMs - sinceMs >= MAX_PLACEMENT_WAIT_MS;
      if (isOverdue || !suspect.isWaiting()) this.placing = undefined;
    }
    for (const [unitId, { suspect, sinceMs }] of this.pending) {
      if (nowMs - sinceMs < MAX_SUSPECT_HOLD_MS && suspect.isSuspect()) continue;
      this.pending.delete(unitId);
      if (suspect.isWaiting()) suspect.enqueue();
    }
    this.startNext();
  }

  private startNext(): void {
    if (this.pending.size === 0) return;
    const maxRunning = Math.max(1, this.opts.countReadyEndpoints() * MAX_TRIAL_SHARE);
    for (const [unitId, { suspect }] of this.pending) {
      if (this.placing || this.running.size + 1 > maxRunning) return;
      this.pending.delete(unitId);
      if (suspect.isWaiting()) {
        this.placing = { suspect, sinceMs: performance.now() };
        suspect.enqueue();
      }
    }
  }

  private reserve(endpointId: string, unitId: string): void {
    const maxReserved = this.opts.countReadyEndpoints() * MAX_RESERVED_SHARE;
    if (this.reserved.has(endpointId) || this.reserved.size + 1 > maxReserved) return;
    this.reserved.add(endpointId);
    this.opts.log.info('endpoint reserved for a suspect of a crash', {
      endpoint: endpointId,
      unit: unitId,
    });
    this.opts.onReservationChange(endpointId);
  }

  private releaseEndpoints(endpointIds: Iterable<string>): void {
    const inUse = new Set([...this.running.values()].flatMap((it) => [...it.values()]));
    for (const endpointId of endpointIds) {
      if (inUse.has(endpointId) || !this.reserved.delete(endpointId)) continue;
      this.opts.onReservationChange(endpointId);
    }
  }

  private isSuspect({ unitId, taskIndex }: AttemptRecord): boolean {
    const job = this.opts.state.jobs.get(unitId);
    return job !== undefined && isSuspectUnit(job, taskIndex);
  }
}
