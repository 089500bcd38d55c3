import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import type { AgentRun, EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type TaskRef } from './jobSpec.js';
import { dueTime } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { PlannedStart } from './stepScheduler.js';
import type { WorkflowState } from './workflowState.js';

/** Options of a {@link RunDispatcher}. */
export interface RunDispatcherOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  health: HealthPolicy;
  /** Called for a run that is recorded but will not be ordered. */
  onNotSent: (agent: EndpointAgent, run: AgentRun, reason: string) => void;
}

/** Returns the unique name of a run. */
export function runKey(task: TaskRef, run: number): string {
  return `${taskName(task)}:${run}`;
}

/** Returns a run for the agent of its endpoint; taken to be running unless stated otherwise. */
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

/** Orders the starts that were recorded. */
export class RunDispatcher {
  private readonly opts: RunDispatcherOptions;

  constructor(opts: RunDispatcherOptions) {
    this.opts = opts;
  }

  /** Orders all starts that are still wanted. */
  dispatch(starts: PlannedStart[]): void {
    this.logOrders(starts.filter((start) => this.order(start)));
  }

  /**
   * Orders a start that is recorded, unless its job has ended meanwhile.
   *
   * @returns Whether it was ordered.
   */
  private order(start: PlannedStart): boolean {
    const { context, directory, health, onNotSent } = this.opts;
    const { state, meter, logger } = context;
    const { task, run, ticket, agent } = start;
    const job = state.jobs.get(task.jobId);
    if (!job) return false;
    const record = state.findTask(task);
    const order = createAgentRun(state, task, run, record?.checkpoint ?? '');
    order.phase = 'ordered';
    if (job.status !== 'open' || directory.find(agent.id) !== agent) {
      onNotSent(agent, order, 'not wanted any more');
      return false;
    }
    if (!context.isValid()) {
      onNotSent(agent, order, 'no majority answered when it was to be ordered');
      return false;
    }
    meter.countRunOrdered(Date.now() - dueTime(job, task.occurrence));
    health.recordStart({ attemptId: order.key, unitId: job.id, endpointId: agent.id });
    agent.order(order, job.spec.payload, ticket).catch((err: Error) => {
      logger.error('start order failed', { run: order.key, err: err.message });
    });
    return true;
  }

  /** Writes one line for the runs of each step. */
  private logOrders(starts: PlannedStart[]): void {
    const { state, logger, fencingToken } = this.opts.context;
    const byStep = new Map<string, PlannedStart[]>();
    for (const start of starts) {
      const same = byStep.get(start.stepName);
      if (same) same.push(start);
      else byStep.set(start.stepName, [start]);
    }
    const nowMs = performance.now();
    for (const [step, runs] of byStep) {
      const job = state.jobs.get(runs[0]!.task.jobId);
      const heartbeatAgesMs = runs.map(({ agent }) => nowMs - agent.lastHeartbeatMs);
      logger.info('runs ordered', {
        step,
        runs: runs.map(({ task, run, endpoint }) => `${task.index}:${run} on ${endpoint}`).join(),
        waitedMs: job && Date.now() - dueTime(job, runs[0]!.task.occurrence),
        oldestHeartbeatMs: Math.round(Math.max(...heartbeatAgesMs)),
        configVersion: state.config.version,
        term: fencingToken,
      });
    }
  }
}
