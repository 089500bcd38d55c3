import type { WorkloadKind } from '@lagoongap/model/workload.js';

/** What identifies a unit of a job or request. */
export interface UnitIdSource {
  kind: WorkloadKind;
  /** Job or request identifier. */
  unitId: string;
  taskIndex: number;
}

/**
 * Returns the identifier under which the scheduler knows a unit: tasks of services
 * and batch jobs are units of their own, a gang is one unit.
 */
export function createUnitId({ kind, unitId, taskIndex }: UnitIdSource): string {
  return kind === 'service' || kind === 'batch' ? `${unitId}/${taskIndex}` : unitId;
}
