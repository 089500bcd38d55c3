import type { WorkloadKind } from '@lagoongap/model/workload.js';

/** Fields that identify a unit of a job or request. */
export interface UnitIdSource {
  kind: WorkloadKind;
  /** Job or request identifier. */
  unitId: string;
  taskIndex: number;
}

/**
 * Returns the unit id that the scheduler uses: each task of a service or batch job is a unit of its
 * own; a gang or a request is one unit.
 */
export function createUnitId({ kind, unitId, taskIndex }: UnitIdSource): string {
  return kind === 'service' || kind === 'batch' ? `${unitId}/${taskIndex}` : unitId;
}
