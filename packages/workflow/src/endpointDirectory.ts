import { delay } from '@lagoongap/model/delay.js';
import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import { EndpointAgent, type AgentListener } from './endpointAgent.js';
import type { SessionContext } from './sessionContext.js';
import { WorkflowError } from './workflowError.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Heartbeats that may be missing before an endpoint gets no new work. */
const MAX_MISSED_HEARTBEATS = 2.5;

/** Endpoints that are inspected for the first time in one turn of the event loop. */
const AGENTS_PER_TURN = 8;

/** The agents of all endpoints that a leader knows. */
export class EndpointDirectory implements Disposable {
  private readonly agents = new Map<string, EndpointAgent>();
  private readonly context: SessionContext;
  private readonly listener: AgentListener;
  private readonly health: HealthPolicy;
  private readonly startMs = performance.now();
  private isDisposed = false;

  constructor(context: SessionContext, listener: AgentListener, health: HealthPolicy) {
    this.context = context;
    this.listener = listener;
    this.health = health;
  }

  /** Returns the agent of an endpoint, which is created if it is new. */
  add(record: EndpointRecord): EndpointAgent {
    this.health.setEndpoint(record.id, [record.pool]);
    const known = this.agents.get(record.id);
    if (known) {
      known.update(record);
      return known;
    }
    const { driver, fencingToken, timing, isValid, logger } = this.context;
    const agent = new EndpointAgent({
      record,
      driver,
      listener: this.listener,
      fencingToken,
      leaseMs: timing.leaseMs,
      maxLeaseMs: timing.maxLeaseMs,
      sessionStartMs: this.startMs,
      isValid,
      log: logger,
    });
    this.agents.set(record.id, agent);
    return agent;
  }

  /** Begins to watch all endpoints, a few at a time, so that leadership is renewed meanwhile. */
  async startAll(): Promise<void> {
    for (const [index, agent] of this.list().entries()) {
      if (index % AGENTS_PER_TURN === AGENTS_PER_TURN - 1) await delay(1);
      if (this.isDisposed) return;
      agent.start();
    }
  }

  find(id: string): EndpointAgent | undefined {
    return this.agents.get(id);
  }

  /** Returns a known agent; throws WorkflowError otherwise. */
  require(id: string): EndpointAgent {
    const agent = this.agents.get(id);
    if (!agent) throw new WorkflowError(`endpoint ${id} is unknown`);
    return agent;
  }

  /** Drops an endpoint; what it ran counts as lost. */
  remove(id: string, reason: string): void {
    const agent = this.agents.get(id);
    if (!agent) return;
    this.agents.delete(id);
    this.health.removeEndpoint(id);
    agent.markGone(reason);
  }

  list(): EndpointAgent[] {
    return [...this.agents.values()];
  }

  /** Endpoints of a pool that may be given new work. */
  listAvailable(pool: string): EndpointAgent[] {
    return this.list().filter(
      (agent) =>
        agent.record.pool === pool &&
        this.isInTouch(agent) &&
        !agent.record.isDraining &&
        !this.health.isEjected(agent.id),
    );
  }

  /** Tells whether an endpoint answers, and has said so lately; its heartbeats may go astray. */
  isInTouch(agent: EndpointAgent): boolean {
    if (!agent.isSynced || agent.isSuspect || agent.isLeaving) return false;
    const lastSignMs = Math.max(agent.lastHeartbeatMs, agent.lastAnswerMs);
    const silentMs = performance.now() - lastSignMs;
    return silentMs < this.context.timing.heartbeatMs * MAX_MISSED_HEARTBEATS;
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    for (const agent of this.agents.values()) agent[Symbol.dispose]();
    this.health[Symbol.dispose]();
  }
}
