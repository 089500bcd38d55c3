import type { AttemptAction, EndpointCapability } from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { LedgerEntry } from './placementLedger.js';
import { accumulate } from './resourceMath.js';
import type { PreemptDecision } from './scheduler.js';

/** An attempt that has to give way, step by step. */
export interface Eviction {
  readonly entry: LedgerEntry;
  readonly steps: readonly AttemptAction[];
  /** Time between steps, in milliseconds; the effect of a step is reported late. */
  readonly pauseMs: number;
  readonly reason: string;
  /** Unit that gets the place, if there is one. */
  readonly beneficiary?: string;
  /** Asked before each step after the first; the eviction ends when it is no longer needed. */
  readonly isNeeded?: () => boolean;
}

interface ActiveEviction extends Eviction {
  next: number;
  dueAtMs: number;
  /** Reservation as it is counted for the team. */
  counted: Resources;
}

/** What the attempts of a team that are giving way have reserved. */
export interface TeamEvictions {
  readonly reserved: Resources;
  tasks: number;
}

/** Time after which a stop is ordered again, in case the first order was lost. */
const REPEAT_STOP_MS = 10_000;

/**
 * Returns the steps by which an attempt is made to give way, mildest first;
 * empty if its endpoint can do nothing that frees its place.
 *
 * @param isThrottleUseful - Less processor time alone could free what is needed.
 */
export function listEvictionSteps(
  capabilities: readonly EndpointCapability[],
  isThrottleUseful: boolean,
): AttemptAction[] {
  const steps: AttemptAction[] = [];
  if (capabilities.includes('checkpoint')) steps.push('checkpoint');
  // A task that was told to checkpoint ends, so that throttling it would gain nothing.
  else if (isThrottleUseful && capabilities.includes('throttle')) steps.push('throttle');
  if (capabilities.includes('stop')) steps.push('stop');
  return steps.every((step) => step === 'throttle') ? [] : steps;
}

/** Orders the steps of all evictions under way, each when it is due. */
export class EvictionTracker {
  private readonly evictions = new Map<string, ActiveEviction>();
  private readonly teams = new Map<string, TeamEvictions>();
  /** Attempts that give way for a unit. */
  private readonly byBeneficiary = new Map<string, Set<string>>();
  private earliestDueMs = Infinity;

  isEvicting(attemptId: string): boolean {
    return this.evictions.has(attemptId);
  }

  /** Tells whether the last step ordered was a throttle. */
  isThrottled(attemptId: string): boolean {
    const eviction = this.evictions.get(attemptId);
    return eviction !== undefined && eviction.steps[eviction.next - 1] === 'throttle';
  }

  /** What the attempts of a team that are giving way have reserved. */
  readTeam(team: string): Readonly<TeamEvictions> {
    return this.openTeam(team);
  }

  start(eviction: Eviction, nowMs: number): void {
    const { attempt } = eviction.entry;
    if (this.evictions.has(attempt.id)) return;
    const counted = { ...eviction.entry.reserved };
    this.evictions.set(attempt.id, { ...eviction, next: 0, dueAtMs: nowMs, counted });
    this.earliestDueMs = Math.min(this.earliestDueMs, nowMs);
    const sum = this.openTeam(attempt.team);
    accumulate(sum.reserved, counted, 1);
    sum.tasks += 1;
    if (eviction.beneficiary === undefined) return;
    const attempts = this.byBeneficiary.get(eviction.beneficiary);
    if (attempts) attempts.add(attempt.id);
    else this.byBeneficiary.set(eviction.beneficiary, new Set([attempt.id]));
  }

  /** Ends the eviction of an attempt that was released. */
  finish(entry: LedgerEntry): void {
    const eviction = this.evictions.get(entry.attempt.id);
    if (eviction) this.remove(eviction);
  }

  /** Gives up evictions for a unit that no longer needs them, unless a stop is ordered. */
  cancelFor(beneficiary: string): void {
    for (const attemptId of [...(this.byBeneficiary.get(beneficiary) ?? [])]) {
      const eviction = this.evictions.get(attemptId)!;
      // A checkpoint that is ordered ends the attempt; its release is on the way.
      const ordered = eviction.steps[eviction.next - 1];
      if (ordered !== 'stop' && ordered !== 'checkpoint') this.remove(eviction);
    }
  }

  /** Returns the steps that are due. */
  collect(nowMs: number): PreemptDecision[] {
    if (nowMs < this.earliestDueMs) return [];
    const decisions: PreemptDecision[] = [];
    this.earliestDueMs = Infinity;
    for (const [attemptId, eviction] of this.evictions) {
      if (eviction.dueAtMs <= nowMs) {
        if (eviction.next > 0 && eviction.isNeeded?.() === false) {
          this.remove(eviction);
          continue;
        }
        const action = eviction.steps[Math.min(eviction.next, eviction.steps.length - 1)]!;
        const { endpointId } = eviction.entry.attempt;
        decisions.push({ type: 'preempt', attemptId, endpointId, action, reason: eviction.reason });
        eviction.next += 1;
        const isLast = eviction.next >= eviction.steps.length;
        eviction.dueAtMs = nowMs + (isLast ? REPEAT_STOP_MS : eviction.pauseMs);
      }
      this.earliestDueMs = Math.min(this.earliestDueMs, eviction.dueAtMs);
    }
    return decisions;
  }

  /** Brings the sums up to date after the reservation of an attempt has changed. */
  refresh(entry: LedgerEntry): void {
    const eviction = this.evictions.get(entry.attempt.id);
    if (!eviction) return;
    const sum = this.openTeam(entry.attempt.team);
    accumulate(sum.reserved, eviction.counted, -1);
    eviction.counted = { ...entry.reserved };
    accumulate(sum.reserved, eviction.counted, 1);
  }

  private remove(eviction: ActiveEviction): void {
    const { attempt } = eviction.entry;
    if (!this.evictions.delete(attempt.id)) return;
    const sum = this.openTeam(attempt.team);
    accumulate(sum.reserved, eviction.counted, -1);
    sum.tasks -= 1;
    if (eviction.beneficiary === undefined) return;
    const attempts = this.byBeneficiary.get(eviction.beneficiary);
    attempts?.delete(attempt.id);
    if (attempts?.size === 0) this.byBeneficiary.delete(eviction.beneficiary);
  }

  private openTeam(team: string): TeamEvictions {
    let sum = this.teams.get(team);
    if (!sum) {
      sum = { reserved: { ...NO_RESOURCES }, tasks: 0 };
      this.teams.set(team, sum);
    }
    return sum;
  }
}
