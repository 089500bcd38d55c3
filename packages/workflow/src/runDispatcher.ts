import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import { CapacityCheck } from './capacityCheck.js';
import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type TaskRef } from './jobSpec.js';
import { dueTimeMs } from './occurrenceSchedule.js';
import { allowsDataCentre } from './queueRegions.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { PlannedStart } from './stepScheduler.js';
import {
  DRAINING_AT_DISPATCH,
  EVACUATED_AT_DISPATCH,
  NOT_NEEDED_AT_DISPATCH,
  NO_TICKET_AT_DISPATCH,
  NOT_VALID_AT_DISPATCH,
  REGION_AT_DISPATCH,
  SHRUNK_AT_DISPATCH,
  UNRESPONSIVE_AT_DISPATCH,
} from './toRunLossReason.js';
import type { WorkflowState } from './workflowState.js';

/** Options of a {@link RunDispatcher}. */
export interface RunDispatcherOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  health: HealthPolicy;
  ledger: RunLedger;
  /** Returns the latest ticket for a start that needs one, or undefined if it has expired. */
  findTicket: (start: PlannedStart) => string | undefined;
  /** Called for runs that are committed but will not be ordered. */
  onNotSent: (agent: EndpointAgent, runs: AgentRun[], reason: string) => void;
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
    isAtWork: false,
    orderedMs: performance.now(),
    isStopping: false,
    isStopped: false,
    estimateMs: state.findSpec(task)?.estimateMs ?? 0,
    checkpoint,
  };
}

/** A committed start that is not ordered yet. */
interface WaitingStart {
  start: PlannedStart;
  /** Monotonic time after which it is lost. */
  deadlineMs: number;
}

/** Why a start cannot be ordered. */
interface Obstacle {
  /** Absent if it may be ordered later. */
  lostReason?: string;
}

/**
 * Time for which a committed start waits for the leadership to be valid. A leader that does not
 * hear a majority for longer steps down.
 */
const MAX_WAIT_MS = 1000;

/** Time between two checks while starts wait. */
const CHECK_INTERVAL_MS = 5;

/**
 * Sends start orders for runs that are committed. A leader that has just committed may be without
 * validity for a moment, until it has read the acknowledgements that renew it; the orders wait.
 */
export class RunDispatcher implements Disposable {
  private readonly opts: RunDispatcherOptions;
  private readonly capacityCheck: CapacityCheck;
  private waiting: WaitingStart[] = [];
  /** Waiting starts that no longer fit on their endpoints. */
  private oversized: ReadonlySet<PlannedStart> = new Set();
  private timer: NodeJS.Timeout | undefined;

  constructor(opts: RunDispatcherOptions) {
    this.opts = opts;
    this.capacityCheck = new CapacityCheck(opts.context.state, opts.ledger);
  }

  /** Sends orders for all starts that are still needed, as soon as the leadership is valid. */
  dispatch(starts: PlannedStart[]): void {
    const { context } = this.opts;
    if (!context.isValid()) {
      const decidedAgoMs = performance.now() - Math.min(...starts.map((it) => it.decidedMs));
      context.logger.warn('leadership is not valid after the commit of starts', {
        runs: starts.length,
        decidedAgoMs: Math.round(decidedAgoMs),
        ...context.describeLeadership(),
      });
    }
    const deadlineMs = performance.now() + MAX_WAIT_MS;
    this.waiting.push(...starts.map((start) => ({ start, deadlineMs })));
    this.orderWaiting();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.waiting = [];
  }

  private orderWaiting(): void {
    clearTimeout(this.timer);
    this.oversized = this.capacityCheck.findOversized(this.waiting.map(({ start }) => start));
    const lostGangs = this.findLostGangs();
    const ordered: PlannedStart[] = [];
    const lost = new Map<string, PlannedStart[]>();
    const kept: WaitingStart[] = [];
    for (const it of this.waiting) {
      const { start } = it;
      const gangReason = lostGangs.get(start.stepName);
      const leaseFromMs = performance.now();
      const obstacle = gangReason ? { lostReason: gangReason } : this.findObstacle(it);
      if (!obstacle) {
        this.order(start, leaseFromMs);
        ordered.push(start);
      } else if (obstacle.lostReason === undefined) {
        kept.push(it);
      } else {
        lost.set(obstacle.lostReason, [...(lost.get(obstacle.lostReason) ?? []), start]);
      }
    }
    this.waiting = kept;
    for (const [reason, starts] of lost) this.reportLost(starts, reason);
    this.logOrders(ordered);
    if (kept.length > 0) this.timer = setTimeout(() => this.orderWaiting(), CHECK_INTERVAL_MS);
  }

  /** Returns the steps of gangs of which a member is lost; the others would wait for it. */
  private findLostGangs(): Map<string, string> {
    const lost = new Map<string, string>();
    for (const it of this.waiting) {
      if (!this.opts.context.state.findSpec(it.start.task)?.isGang) continue;
      const reason = this.findObstacle(it)?.lostReason;
      if (reason !== undefined) lost.set(it.start.stepName, reason);
    }
    return lost;
  }

  /** Returns why a start cannot be ordered at this moment; undefined if it can. */
  private findObstacle({ start, deadlineMs }: WaitingStart): Obstacle | undefined {
    const { context, directory, findTicket } = this.opts;
    const { task, run, agent, bornMs } = start;
    const isOpen = context.state.jobs.get(task.jobId)?.status === 'open';
    const record = context.state.findTask(task);
    // Another run of the task may have succeeded since the decision for a copy.
    const isCurrent = !record?.isDone && record?.runs.some((it) => it.run === run);
    const isSameEndpoint = directory.find(agent.id) === agent && agent.record.bornMs === bornMs;
    if (!isOpen || !isCurrent || !isSameEndpoint) return { lostReason: NOT_NEEDED_AT_DISPATCH };
    if (agent.record.isDraining) return { lostReason: DRAINING_AT_DISPATCH };
    if (directory.isEvacuated(agent)) return { lostReason: EVACUATED_AT_DISPATCH };
    if (!this.isInAllowedRegion(start)) return { lostReason: REGION_AT_DISPATCH };
    if (!context.isValid()) {
      return performance.now() < deadlineMs ? {} : { lostReason: NOT_VALID_AT_DISPATCH };
    }
    if (!directory.isResponsive(agent)) return { lostReason: UNRESPONSIVE_AT_DISPATCH };
    const hasTicket = start.ticket === undefined || findTicket(start) !== undefined;
    if (!hasTicket) return { lostReason: NO_TICKET_AT_DISPATCH };
    return this.oversized.has(start) ? { lostReason: SHRUNK_AT_DISPATCH } : undefined;
  }

  /** Returns whether the configuration in force, which may be newer, allows the data centre. */
  private isInAllowedRegion({ task, agent }: PlannedStart): boolean {
    const { state, readConfig } = this.opts.context;
    const name = state.jobs.get(task.jobId)?.queue;
    const queue = readConfig()?.queues.find((it) => it.name === name);
    return !queue || allowsDataCentre(queue, agent.record.dataCentre);
  }

  private order(start: PlannedStart, leaseFromMs: number): void {
    const { context, health, findTicket } = this.opts;
    const { state, meter, logger } = context;
    const { task, agent } = start;
    const ticket = start.ticket && findTicket(start);
    const job = state.jobs.get(task.jobId)!;
    const order = this.createRun(start);
    meter.countRunOrdered(Date.now() - dueTimeMs(job, task.occurrence));
    agent.warmup.recordOrder(order.key, performance.now());
    health.recordStart({ attemptId: order.key, unitId: job.id, endpointId: agent.id });
    agent.order(order, job.spec.payload, ticket, leaseFromMs).catch((err: Error) => {
      logger.error('start order failed', { run: order.key, err: err.message });
    });
  }

  private createRun({ task, run }: PlannedStart): AgentRun {
    const { state } = this.opts.context;
    const order = createAgentRun(state, task, run, state.findTask(task)?.checkpoint ?? '');
    order.phase = 'ordered';
    return order;
  }

  private reportLost(starts: PlannedStart[], reason: string): void {
    const byAgent = new Map<EndpointAgent, AgentRun[]>();
    for (const start of starts) {
      start.agent.warmup.withdrawStart(start.key);
      const runs = byAgent.get(start.agent) ?? [];
      runs.push(this.createRun(start));
      byAgent.set(start.agent, runs);
    }
    for (const [agent, runs] of byAgent) this.opts.onNotSent(agent, runs, reason);
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
        configVersion: state.config?.version,
        term: fencingToken,
      });
    }
  }
}
