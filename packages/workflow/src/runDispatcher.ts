import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import { CapacityCheck } from './capacityCheck.js';
import type { AgentRun, EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type TaskRef } from './jobSpec.js';
import { dueTimeMs } from './readySteps.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { PlannedStart } from './stepScheduler.js';
import type { WorkflowState } from './workflowState.js';

/** Options of a {@link RunDispatcher}. */
export interface RunDispatcherOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  health: HealthPolicy;
  ledger: RunLedger;
  /** Called for a run that is committed but will not be ordered. */
  onNotSent: (agent: EndpointAgent, run: AgentRun, reason: string) => void;
}

/** Returns the unique name of a run. */
export function runKey(task: TaskRef, run: number): string {
  return `${taskName(task)}:${run}`;
}

/** Creates a run for the agent of its endpoint; assumed to be running unless changed. */
export function createAgentRun(
  state: WorkflowState,
  task: TaskRef,
  run: number,
  checkpoint: string,
): AgentRun {
  return {
    key: runKey(task, run),
    name: taskName(task),
    task,
    run,
    phase: 'running',
    confirmedMs: 0,
    orderedMs: performance.now(),
    isStopping: false,
    isStopped: false,
    estimateMs: state.findSpec(task)?.estimateMs ?? 0,
    checkpoint,
  };
}

/** Sends start orders for runs that are committed. */
export class RunDispatcher {
  private readonly opts: RunDispatcherOptions;
  private readonly capacityCheck: CapacityCheck;

  constructor(opts: RunDispatcherOptions) {
    this.opts = opts;
    this.capacityCheck = new CapacityCheck(opts.context.state, opts.ledger);
  }

  /** Sends orders for all starts that are still needed. */
  dispatch(starts: PlannedStart[]): void {
    const oversized = this.capacityCheck.findOversized(starts);
    this.logOrders(starts.filter((start) => this.order(start, oversized.has(start))));
  }

  /**
   * Sends the order for a committed start, unless its job has ended, its endpoint was removed or it
   * no longer fits.
   *
   * @returns Whether the order was sent.
   */
  private order(start: PlannedStart, isOversized: boolean): boolean {
    const { context, directory, health, onNotSent } = this.opts;
    const { state, meter, logger } = context;
    const { task, run, ticket, agent } = start;
    const job = state.jobs.get(task.jobId);
    if (!job) return false;
    const record = state.findTask(task);
    const order = createAgentRun(state, task, run, record?.checkpoint ?? '');
    order.phase = 'ordered';
    if (job.status !== 'open' || directory.find(agent.id) !== agent) {
      onNotSent(agent, order, 'the job has ended or the endpoint was removed');
      return false;
    }
    if (isOversized) {
      onNotSent(agent, order, 'the capacity of the endpoint has shrunk');
      return false;
    }
    if (!context.isValid()) {
      onNotSent(agent, order, 'leadership was not valid when the run was to be ordered');
      return false;
    }
    meter.countRunOrdered(Date.now() - dueTimeMs(job, task.occurrence));
    health.recordStart({ attemptId: order.key, unitId: job.id, endpointId: agent.id });
    agent.order(order, job.spec.payload, ticket).catch((err: Error) => {
      logger.error('start order failed', { run: order.key, err: err.message });
    });
    return true;
  }

  /** Logs one line per step with its runs. */
  private logOrders(starts: PlannedStart[]): void {
    const { state, logger, fencingToken } = this.opts.context;
    const byStep = new Map<string, PlannedStart[]>();
    for (const start of starts) {
      const group = byStep.get(start.stepName);
      if (group) group.push(start);
      else byStep.set(start.stepName, [start]);
    }
    const nowMs = performance.now();
    for (const [step, runs] of byStep) {
      const job = state.jobs.get(runs[0]!.task.jobId);
      const heartbeatAgesMs = runs.map(({ agent }) => nowMs - agent.lastHeartbeatMs);
      logger.info('runs ordered', {
        step,
        runs: runs.map(({ task, run, endpoint }) => `${task.index}:${run} on ${endpoint}`).join(),
        waitedMs: job && Date.now() - dueTimeMs(job, runs[0]!.task.occurrence),
        oldestHeartbeatMs: Math.round(Math.max(...heartbeatAgesMs)),
        configVersion: state.config.version,
        term: fencingToken,
      });
    }
  }
}
