import type { RunLedger } from './runLedger.js';
import type { PlannedStart } from './stepScheduler.js';
import type { WorkflowState } from './workflowState.js';

/**
 * Rechecks committed starts against the capacity that their endpoints report now, which may have
 * shrunk since the decision.
 */
export class CapacityCheck {
  private readonly state: WorkflowState;
  private readonly ledger: RunLedger;

  constructor(state: WorkflowState, ledger: RunLedger) {
    this.state = state;
    this.ledger = ledger;
  }

  /**
   * Returns the starts that no longer fit next to the runs that their endpoints may have. The
   * members of a gang fit together or not at all.
   */
  findOversized(starts: readonly PlannedStart[]): Set<PlannedStart> {
    const oversized = new Set<PlannedStart>();
    const admitted: PlannedStart[] = [];
    for (const group of this.groupByGang(starts)) {
      const candidates = [...admitted, ...group];
      if (group.every((start) => this.fits(start, candidates))) admitted.push(...group);
      else for (const start of group) oversized.add(start);
    }
    return oversized;
  }

  private groupByGang(starts: readonly PlannedStart[]): PlannedStart[][] {
    const groups: PlannedStart[][] = [];
    const gangs = new Map<string, PlannedStart[]>();
    for (const start of starts) {
      const gang = gangs.get(start.stepName);
      if (gang) {
        gang.push(start);
        continue;
      }
      const group = [start];
      groups.push(group);
      if (this.state.findSpec(start.task)?.isGang) gangs.set(start.stepName, group);
    }
    return groups;
  }

  private fits({ agent }: PlannedStart, candidates: readonly PlannedStart[]): boolean {
    const { capacity } = agent.record;
    // Includes starts that are planned but not committed yet.
    if (this.ledger.isWithinCapacity(agent.id, capacity)) return true;
    const keys = new Set(agent.runs.keys());
    for (const start of candidates) if (start.agent === agent) keys.add(start.key);
    return this.ledger.isWithinCapacity(agent.id, capacity, keys);
  }
}
