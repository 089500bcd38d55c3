import type { EndpointDirectory } from './endpointDirectory.js';
import type { TaskRef } from './jobSpec.js';
import type { Quarantine } from './quarantine.js';
import { listTasks } from './readySteps.js';
import { createAgentRun } from './runDispatcher.js';
import { createReservation, type RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { EndedRun } from './workflowCommand.js';
import type { JobRecord, RunRecord } from './workflowRecords.js';

/** Options of a {@link RunAdoption}. */
export interface RunAdoptionOptions {
  context: SessionContext;
  ledger: RunLedger;
  directory: EndpointDirectory;
  quarantine: Quarantine;
  /** Called for a run whose endpoint is not registered any more. */
  onLost: (end: EndedRun, endpoint: string) => void;
}

/** Takes over the runs that earlier leaders have started. */
export class RunAdoption {
  private readonly opts: RunAdoptionOptions;

  constructor(opts: RunAdoptionOptions) {
    this.opts = opts;
  }

  /** Adopts the runs of a job; returns their number. */
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

  private adoptRun(
    job: JobRecord,
    task: TaskRef,
    { run, endpoint }: RunRecord,
    checkpoint: string,
  ): void {
    const { context, ledger, directory, quarantine, onLost } = this.opts;
    const adopted = createAgentRun(context.state, task, run, checkpoint);
    ledger.reserve(createReservation(job, task, adopted.key, endpoint));
    const agent = directory.find(endpoint);
    if (!agent) {
      onLost({ task, run, outcome: 'lost' }, endpoint);
      return;
    }
    agent.adopt(adopted);
    quarantine.adopt(adopted, endpoint);
    if (job.status !== 'open') agent.stop(adopted);
  }
}
