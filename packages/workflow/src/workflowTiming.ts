/** Timing parameters of the workflow layer; all times in milliseconds. */
export interface WorkflowTiming {
  /** Duration of the leases granted to endpoints. */
  leaseMs: number;
  /** Longest lease that an endpoint accepts. */
  maxLeaseMs: number;
  /** Time between two heartbeats of an endpoint. */
  heartbeatMs: number;
  /** Retention time of ended jobs. */
  retentionMs: number;
  /** Maximum duration of a scheduling cycle; the remaining steps are left to the next cycle. */
  turnMs: number;
  /** Slowdown factor of a task that runs outside the rack of its data or its gang. */
  farFactor: number;
  /** Duration of the maintenance of an instance. */
  maintenanceMs: number;
  /** Longest time from a stop order to the end of the run. */
  stopMs: number;
  /** Work after which a checkpointing task writes a new checkpoint; it also does so at a stop. */
  checkpointMs: number;
  /** Time that a task needs to resume from a checkpoint. */
  restoreMs: number;
}

/** Defaults for settings that the operator leaves out. */
export const DEFAULT_WORKFLOW_TIMING: WorkflowTiming = {
  leaseMs: 5000,
  maxLeaseMs: 10_000,
  heartbeatMs: 1500,
  retentionMs: 300_000,
  turnMs: 20,
  farFactor: 1,
  maintenanceMs: 2000,
  stopMs: 200,
  checkpointMs: 1000,
  restoreMs: 500,
};
