import type { CrashEvidence } from './crashRecord.js';
import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { TaskRef } from './jobSpec.js';
import type { Quarantine } from './quarantine.js';
import { runKey } from './runDispatcher.js';
import type { RunLedger } from './runLedger.js';
import type { ServiceOutages } from './serviceOutages.js';
import type { SessionContext } from './sessionContext.js';
import { toRunLossReason } from './toRunLossReason.js';
import type { EndedRun } from './workflowCommand.js';
import type { JobRecord, RunRecord } from './workflowRecords.js';

/** Options of {@link RunEnds}. */
export interface RunEndsOptions {
  context: SessionContext;
  ledger: RunLedger;
  directory: EndpointDirectory;
  quarantine: Quarantine;
  outages: ServiceOutages;
  /** Called for an occurrence that has completed and whose runs have all ended. */
  onReleased: (job: JobRecord, occurrence: number) => void;
  /** Called for each job with a run that has ended. */
  onChanged: (jobId: string) => void;
}

/** Commits the ends of runs, and releases what the runs held. */
export class RunEnds {
  private readonly opts: RunEndsOptions;

  constructor(opts: RunEndsOptions) {
    this.opts = opts;
  }

  /** Commits the loss of a run whose endpoint is not registered. */
  recordUnadopted(task: TaskRef, { run, endpoint }: RunRecord): void {
    this.opts.context.meter.countLostRuns('endpoint-gone', 1);
    this.recordOrLog([{ task, run, outcome: 'lost' }], endpoint);
  }

  /** Commits the loss of runs that ended without a report; does not affect endpoint health. */
  recordLost(
    agent: EndpointAgent,
    runs: AgentRun[],
    reason: string,
    evidence?: Map<string, CrashEvidence>,
  ): void {
    const { meter, logger } = this.opts.context;
    meter.countLostRuns(toRunLossReason(reason), runs.length);
    logger.warn('runs are lost', {
      endpoint: agent.id,
      reason,
      runs: runs.map(({ key }) => key),
    });
    const ends = runs.map(({ key, task, run, checkpoint }) => ({
      task,
      run,
      outcome: 'lost' as const,
      checkpoint: checkpoint || undefined,
      crash: evidence?.get(key),
    }));
    this.recordOrLog(ends, agent.id);
  }

  /** Resolves when the ends are durable. */
  async record(ends: EndedRun[], endpoint: string): Promise<void> {
    const { context, ledger, quarantine, outages, onChanged, onReleased } = this.opts;
    await context.propose({ type: 'end', runs: ends });
    outages.recordEnds(ends);
    for (const { task, run, outcome } of ends) {
      ledger.release(runKey(task, run));
      quarantine.end(runKey(task, run), outcome === 'done');
      context.meter.countRunEnded(outcome);
      if (outcome === 'done') this.stopCopies(task);
      const job = context.state.jobs.get(task.jobId);
      if (job && context.state.isReleased(job, task.occurrence)) onReleased(job, task.occurrence);
    }
    context.logger.info('runs ended', {
      endpoint,
      runs: ends.map(({ task, run, outcome }) => `${runKey(task, run)} ${outcome}`).join(),
    });
    for (const id of new Set(ends.map(({ task }) => task.jobId))) onChanged(id);
  }

  private recordOrLog(ends: EndedRun[], endpoint: string): void {
    this.record(ends, endpoint).catch((err: Error) => {
      this.opts.context.logger.warn('failed to record a change', {
        what: 'run ends',
        err: err.message,
      });
    });
  }

  /** Stops the remaining runs of a task that has succeeded. */
  private stopCopies(task: TaskRef): void {
    const { context, directory } = this.opts;
    const record = context.state.findTask(task);
    if (!record?.isDone || context.state.findSpec(task)?.isGang) return;
    for (const { run, endpoint } of record.runs) directory.stopRun(endpoint, runKey(task, run));
  }
}
