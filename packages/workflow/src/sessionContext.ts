import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { Log } from '@lagoongap/model/log.js';
import type { WorkflowMeter } from '@lagoongap/telemetry/workflowMetrics.js';

import type { CellConfig, ConfigReader } from './cellConfig.js';
import type { EndpointDriver } from './endpointDriver.js';
import type { InstanceApi } from './instanceApi.js';
import type { WorkflowCommand } from './workflowCommand.js';
import type { WorkflowState } from './workflowState.js';
import type { WorkflowTiming } from './workflowTiming.js';

/** What all parts of a leadership share. */
export interface SessionContext {
  state: WorkflowState;
  driver: EndpointDriver;
  timing: WorkflowTiming;
  logger: Log;
  meter: WorkflowMeter;
  /** Token of this leadership; higher than that of every earlier one. */
  fencingToken: number;
  /** Tells whether this instance still leads. */
  isValid: () => boolean;
  /** Resolves with the result once the command is durable and applied. */
  propose: (command: WorkflowCommand) => Promise<unknown>;
  /** Configuration in force, or undefined before the first. */
  readConfig: () => CellConfig | undefined;
}

/** Options of a leadership. */
export interface WorkflowSessionOptions {
  log: ReplicatedLog;
  state: WorkflowState;
  driver: EndpointDriver;
  instances: InstanceApi;
  /** Names this instance towards the platform. */
  holder: string;
  parseConfig: ConfigReader;
  timing: WorkflowTiming;
  logger: Log;
  meter: WorkflowMeter;
  isValid: () => boolean;
}
