/** Durations and factors of the workflow layer; all times in milliseconds. */
export interface WorkflowTiming {
  /** Length of the leases that are granted to endpoints. */
  leaseMs: number;
  /** Longest lease that an endpoint accepts. */
  maxLeaseMs: number;
  /** Time between two heartbeats of an endpoint. */
  heartbeatMs: number;
  /** Time for which an ended job is kept. */
  retentionMs: number;
  /** How much longer a task takes away from its data or its gang's rack. */
  farFactor: number;
  /** Time that an instance's maintenance takes. */
  maintenanceMs: number;
}

/** Defaults for a cell whose operator states nothing. */
export const DEFAULT_WORKFLOW_TIMING: WorkflowTiming = {
  leaseMs: 5000,
  maxLeaseMs: 10_000,
  heartbeatMs: 1500,
  retentionMs: 300_000,
  farFactor: 1,
  maintenanceMs: 2000,
};
