import type { AttemptAction, EndpointCapability } from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { LedgerEntry } from './placementLedger.js';
import { accumulate } from './resourceMath.js';
import type { PreemptDecision } from './scheduler.js';

/** Stepwise eviction of an attempt. */
export interface Eviction {
  readonly entry: LedgerEntry;
  readonly steps: readonly AttemptAction[];
  /** Interval between steps, in milliseconds; the effect of a step is reported with a delay. */
  readonly stepIntervalMs: number;
  readonly reason: string;
  /** Unit for which the capacity is freed, if there is one. */
  readonly beneficiary?: string;
  /** Called before each step after the first; the eviction ends when it returns false. */
  readonly isNeeded?: () => boolean;
}

interface ActiveEviction extends Eviction {
  nextStep: number;
  dueAtMs: number;
  /** Reservation that is included in the totals of the team. */
  countedReservation: Resources;
}

/** Totals of the attempts of a team that are being evicted. */
export interface TeamEvictionTotals {
  readonly reserved: Resources;
  tasks: number;
}

/** Interval at which a stop order is repeated, as an order may be lost. */
const STOP_REPEAT_INTERVAL_MS = 10_000;

/**
 * Returns the steps of an eviction, least disruptive first; empty if the endpoint supports no
 * step that frees the reservation.
 *
 * @param isThrottleUseful - Whether a reduction of processor time alone frees enough capacity.
 */
export function listEvictionSteps(
  capabilities: readonly EndpointCapability[],
  isThrottleUseful: boolean,
): AttemptAction[] {
  const steps: AttemptAction[] = [];
  if (capabilities.includes('checkpoint')) steps.push('checkpoint');
  // A task ends after its checkpoint, so throttling it in addition has no benefit.
  else if (isThrottleUseful && capabilities.includes('throttle')) steps.push('throttle');
  if (capabilities.includes('stop')) steps.push('stop');
  return steps.every((step) => step === 'throttle') ? [] : steps;
}

/** Tracks the evictions under way and issues their steps when they are due. */
export class EvictionTracker {
  private readonly evictions = new Map<string, ActiveEviction>();
  private readonly teams = new Map<string, TeamEvictionTotals>();
  /** Attempts that are evicted for a unit, by unit identifier. */
  private readonly byBeneficiary = new Map<string, Set<string>>();
  private earliestDueMs = Infinity;

  isEvicting(attemptId: string): boolean {
    return this.evictions.has(attemptId);
  }

  /** Returns whether the last step ordered was a throttle. */
  isThrottled(attemptId: string): boolean {
    const eviction = this.evictions.get(attemptId);
    return eviction !== undefined && eviction.steps[eviction.nextStep - 1] === 'throttle';
  }

  /** Returns the totals of the attempts of a team that are being evicted. */
  getTeamTotals(team: string): Readonly<TeamEvictionTotals> {
    return this.getOrCreateTotals(team);
  }

  start(eviction: Eviction, nowMs: number): void {
    const { attempt } = eviction.entry;
    if (this.evictions.has(attempt.id)) return;
    const countedReservation = { ...eviction.entry.reserved };
    this.evictions.set(attempt.id, {
      ...eviction,
      nextStep: 0,
      dueAtMs: nowMs,
      countedReservation,
    });
    this.earliestDueMs = Math.min(this.earliestDueMs, nowMs);
    const sum = this.getOrCreateTotals(attempt.team);
    accumulate(sum.reserved, countedReservation, 1);
    sum.tasks += 1;
    if (eviction.beneficiary === undefined) return;
    const attempts = this.byBeneficiary.get(eviction.beneficiary);
    if (attempts) attempts.add(attempt.id);
    else this.byBeneficiary.set(eviction.beneficiary, new Set([attempt.id]));
  }

  /** Ends the eviction of an attempt that has been released. */
  finish(entry: LedgerEntry): void {
    const eviction = this.evictions.get(entry.attempt.id);
    if (eviction) this.remove(eviction);
  }

  /** Cancels evictions for a unit, except those whose stop or checkpoint is ordered already. */
  cancelForBeneficiary(beneficiary: string): void {
    for (const attemptId of [...(this.byBeneficiary.get(beneficiary) ?? [])]) {
      const eviction = this.evictions.get(attemptId)!;
      // An ordered stop or checkpoint ends the attempt, so its capacity is freed anyway.
      const ordered = eviction.steps[eviction.nextStep - 1];
      if (ordered !== 'stop' && ordered !== 'checkpoint') this.remove(eviction);
    }
  }

  /** Returns the steps that are due and schedules the next ones. */
  collectDue(nowMs: number): PreemptDecision[] {
    if (nowMs < this.earliestDueMs) return [];
    const decisions: PreemptDecision[] = [];
    this.earliestDueMs = Infinity;
    for (const [attemptId, eviction] of this.evictions) {
      if (eviction.dueAtMs <= nowMs) {
        if (eviction.nextStep > 0 && eviction.isNeeded?.() === false) {
          this.remove(eviction);
          continue;
        }
        const action = eviction.steps[Math.min(eviction.nextStep, eviction.steps.length - 1)]!;
        const { endpointId } = eviction.entry.attempt;
        decisions.push({ type: 'preempt', attemptId, endpointId, action, reason: eviction.reason });
        eviction.nextStep += 1;
        const isLast = eviction.nextStep >= eviction.steps.length;
        eviction.dueAtMs = nowMs + (isLast ? STOP_REPEAT_INTERVAL_MS : eviction.stepIntervalMs);
      }
      this.earliestDueMs = Math.min(this.earliestDueMs, eviction.dueAtMs);
    }
    return decisions;
  }

  /** Updates the totals of a team after the reservation of an attempt has changed. */
  updateReservation(entry: LedgerEntry): void {
    const eviction = this.evictions.get(entry.attempt.id);
    if (!eviction) return;
    const sum = this.getOrCreateTotals(entry.attempt.team);
    accumulate(sum.reserved, eviction.countedReservation, -1);
    eviction.countedReservation = { ...entry.reserved };
    accumulate(sum.reserved, eviction.countedReservation, 1);
  }

  private remove(eviction: ActiveEviction): void {
    const { attempt } = eviction.entry;
    if (!this.evictions.delete(attempt.id)) return;
    const sum = this.getOrCreateTotals(attempt.team);
    accumulate(sum.reserved, eviction.countedReservation, -1);
    sum.tasks -= 1;
    if (eviction.beneficiary === undefined) return;
    const attempts = this.byBeneficiary.get(eviction.beneficiary);
    attempts?.delete(attempt.id);
    if (attempts?.size === 0) this.byBeneficiary.delete(eviction.beneficiary);
  }

  private getOrCreateTotals(team: string): TeamEvictionTotals {
    let sum = this.teams.get(team);
    if (!sum) {
      sum = { reserved: { ...NO_RESOURCES }, tasks: 0 };
      this.teams.set(team, sum);
    }
    return sum;
  }
}
