import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { Log } from '@lagoongap/model/log.js';
import type { WorkflowMetricsRecorder } from '@lagoongap/telemetry/workflowMetricsRecorder.js';

import type { CellConfig, ConfigParser } from './cellConfig.js';
import type { EndpointDriver } from './endpointDriver.js';
import type { InstanceApi } from './instanceApi.js';
import type { WorkflowCommand } from './workflowCommand.js';
import type { CellLimits } from './cellLimits.js';
import type { WorkflowFeatures } from './workflowFeatures.js';
import type { WorkflowState } from './workflowState.js';
import type { WorkflowTiming } from './workflowTiming.js';

/** Dependencies shared by all components of a leadership. */
export interface SessionContext {
  state: WorkflowState;
  driver: EndpointDriver;
  timing: WorkflowTiming;
  features: WorkflowFeatures;
  limits: CellLimits;
  logger: Log;
  meter: WorkflowMetricsRecorder;
  /** Fencing token of this leadership; higher than that of every earlier one. */
  fencingToken: number;
  /** Monotonic time after which no earlier leader can have given orders or granted leases. */
  predecessorEndMs: number;
  /** Returns whether the leadership of this instance is valid. */
  isValid: () => boolean;
  /** Returns log fields that explain whether the leadership is valid at this moment. */
  describeLeadership: () => Record<string, unknown>;
  /** Resolves with the result once the command is durable and applied. */
  propose: (command: WorkflowCommand) => Promise<unknown>;
  /** Returns the configuration in force, or undefined if there is none yet. */
  readConfig: () => CellConfig | undefined;
}

/** Options of a workflow session. */
export interface WorkflowSessionOptions {
  log: ReplicatedLog;
  state: WorkflowState;
  driver: EndpointDriver;
  instances: InstanceApi;
  /** Identifies this instance in calls to the platform. */
  holder: string;
  parseConfig: ConfigParser;
  timing: WorkflowTiming;
  /** By default all. */
  features?: WorkflowFeatures;
  limits?: CellLimits;
  logger: Log;
  meter: WorkflowMetricsRecorder;
  isValid: () => boolean;
  /** Returns whether the process has not been suspended recently; for logs only. */
  isClockReliable?: () => boolean;
  /** Duration of the leader's validity in milliseconds; for logs only. */
  validityMs?: number;
  /** Monotonic time of the election; by default the creation of the session. */
  electedMs?: number;
}
