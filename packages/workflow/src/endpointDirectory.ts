import { delay } from '@lagoongap/model/delay.js';
import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import { EndpointAgent, type AgentListener } from './endpointAgent.js';
import { readStoredColdMs } from './endpointWarmup.js';
import type { SessionContext } from './sessionContext.js';
import { WorkflowError } from './workflowError.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Missed heartbeats (or responses) after which an endpoint gets no new work. */
const MAX_MISSED_HEARTBEATS = 2.5;

/** Number of endpoints whose inspection starts in one event-loop iteration. */
const AGENTS_PER_ITERATION = 8;

/** Holds the agents of all registered endpoints. */
export class EndpointDirectory implements Disposable {
  private readonly agents = new Map<string, EndpointAgent>();
  /** Monotonic times since which this leader knows the endpoints. */
  private readonly addedMs = new WeakMap<EndpointAgent, number>();
  private readonly context: SessionContext;
  private readonly listener: AgentListener;
  private readonly health: HealthPolicy;
  private changeCount = 0;
  private isDisposed = false;

  constructor(context: SessionContext, listener: AgentListener, health: HealthPolicy) {
    this.context = context;
    this.listener = listener;
    this.health = health;
  }

  /** Version of the set of endpoints, of their records and of the evacuations. */
  get version(): number {
    return this.changeCount + this.context.state.evacuations.version;
  }

  /** Returns the agent of an endpoint after an update of its record; created if new. */
  add(record: EndpointRecord): EndpointAgent {
    this.changeCount += 1;
    this.health.setEndpoint(record.id, [record.pool]);
    const known = this.agents.get(record.id);
    if (known) {
      known.update(record);
      return known;
    }
    const { driver, fencingToken, timing, predecessorEndMs, isValid, logger } = this.context;
    const agent = new EndpointAgent({
      record,
      driver,
      listener: this.listener,
      fencingToken,
      leaseMs: timing.leaseMs,
      maxLeaseMs: timing.maxLeaseMs,
      predecessorEndMs,
      isValid,
      log: logger,
    });
    // What an earlier leader has stored counts until the next heartbeat.
    const coldLeftMs = readStoredColdMs(record.coldUntilMs, Date.now());
    if (this.context.features.has('warm-up')) agent.warmup.observe(coldLeftMs, performance.now());
    this.agents.set(record.id, agent);
    this.addedMs.set(agent, performance.now());
    return agent;
  }

  /** Starts all agents, a few per event-loop iteration, so as not to block leadership renewal. */
  async startAll(): Promise<void> {
    for (const [index, agent] of this.list().entries()) {
      if (index % AGENTS_PER_ITERATION === AGENTS_PER_ITERATION - 1) await delay(1);
      if (this.isDisposed) return;
      agent.start();
    }
  }

  find(id: string): EndpointAgent | undefined {
    return this.agents.get(id);
  }

  /** Returns the agent of an endpoint; throws WorkflowError if there is none. */
  require(id: string): EndpointAgent {
    const agent = this.agents.get(id);
    if (!agent) throw new WorkflowError(`endpoint ${id} is not registered`);
    return agent;
  }

  /** Removes an endpoint; its runs count as lost. */
  remove(id: string, reason: string): void {
    const agent = this.agents.get(id);
    if (!agent) return;
    this.changeCount += 1;
    this.agents.delete(id);
    this.health.removeEndpoint(id);
    agent.markRemoved(reason);
  }

  /** Stops a run, unless it has ended or its endpoint was removed. */
  stopRun(endpoint: string, key: string): void {
    const agent = this.agents.get(endpoint);
    const run = agent?.runs.get(key);
    if (run) agent?.stop(run);
  }

  /** Number of registered endpoints. */
  get size(): number {
    return this.agents.size;
  }

  /** Returns the oldest endpoint without runs that was added before a time and never responded. */
  findUnproved(addedBeforeMs: number): EndpointAgent | undefined {
    for (const agent of this.agents.values()) {
      if (agent.lastResponseMs > -Infinity || agent.runs.size > 0) continue;
      if (this.addedMs.get(agent)! < addedBeforeMs) return agent;
    }
    return undefined;
  }

  list(): EndpointAgent[] {
    return [...this.agents.values()];
  }

  /** Returns the endpoints of a pool that accept new work. */
  listAvailable(pool: string): EndpointAgent[] {
    return this.list().filter(
      (agent) =>
        agent.record.pool === pool && this.isUsable(agent) && !this.health.isEjected(agent.id),
    );
  }

  /** Returns the endpoints that would accept new work if they were not ejected. */
  listEjected(): EndpointAgent[] {
    return this.list().filter((agent) => this.health.isEjected(agent.id) && this.isUsable(agent));
  }

  /** Returns the endpoints that would accept new work if their data centre were not evacuated. */
  listEvacuated(): EndpointAgent[] {
    return this.list().filter((agent) => this.isEvacuated(agent) && this.acceptsWork(agent));
  }

  /** Returns whether the data centre of an endpoint is evacuated, so that nothing may start there. */
  isEvacuated({ record }: EndpointAgent): boolean {
    return this.context.state.evacuations.has(record.dataCentre);
  }

  private isUsable(agent: EndpointAgent): boolean {
    return this.acceptsWork(agent) && !this.isEvacuated(agent);
  }

  private acceptsWork(agent: EndpointAgent): boolean {
    return this.isResponsive(agent) && this.isRegistered(agent) && !agent.record.isDraining;
  }

  /**
   * Returns whether the registration of an endpoint's incarnation is durable. The next leader would
   * take runs on an endpoint that it does not know for lost.
   */
  private isRegistered({ id, record }: EndpointAgent): boolean {
    return this.context.state.endpoints.get(id)?.bornMs === record.bornMs;
  }

  /** Returns whether an endpoint has responded or sent a heartbeat recently; either is enough. */
  isResponsive(agent: EndpointAgent): boolean {
    if (!agent.isSynced || agent.isSuspect || agent.isLeaving) return false;
    const lastContactMs = Math.max(agent.lastHeartbeatMs, agent.lastResponseMs);
    const silenceMs = performance.now() - lastContactMs;
    return silenceMs < this.context.timing.heartbeatMs * MAX_MISSED_HEARTBEATS;
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    for (const agent of this.agents.values()) agent[Symbol.dispose]();
    this.health[Symbol.dispose]();
  }
}
