import type { EndpointDirectory } from './endpointDirectory.js';
import type { TaskRef } from './jobSpec.js';
import type { Quarantine } from './quarantine.js';
import { listTasks } from './readySteps.js';
import { createAgentRun } from './runDispatcher.js';
import { createReservation, type RunLedger } from './runLedger.js';
import type { WorkflowState } from './workflowState.js';
import type { JobRecord, RunRecord } from './workflowRecords.js';

/** Dependencies of a {@link RunAdopter}. */
export interface RunAdopterOptions {
  state: WorkflowState;
  ledger: RunLedger;
  directory: EndpointDirectory;
  quarantine: Quarantine;
  /** Called for a run whose endpoint is not registered. */
  onLost: (task: TaskRef, run: RunRecord) => void;
}

/** Assigns the runs of the previous leader to the agents of their endpoints. */
export class RunAdopter {
  private readonly opts: RunAdopterOptions;

  constructor(opts: RunAdopterOptions) {
    this.opts = opts;
  }

  /** Adopts all runs of a job, and returns their number. */
  adopt(job: JobRecord): number {
    let count = 0;
    for (const { task, record } of listTasks(job)) {
      for (const run of record.runs) {
        this.adoptRun(job, task, run, record.checkpoint ?? '');
        count += 1;
      }
    }
    return count;
  }

  private adoptRun(job: JobRecord, task: TaskRef, record: RunRecord, checkpoint: string): void {
    const { state, ledger, directory, quarantine, onLost } = this.opts;
    const { run, endpoint } = record;
    const adopted = createAgentRun(state, task, run, checkpoint);
    ledger.reserve(createReservation(job, task, adopted.key, endpoint));
    const agent = directory.find(endpoint);
    if (!agent) {
      onLost(task, record);
      return;
    }
    agent.adopt(adopted);
    quarantine.adopt(adopted, endpoint);
    if (job.status !== 'open') agent.stop(adopted);
  }
}
