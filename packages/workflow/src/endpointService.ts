import type { EndpointDirectory } from './endpointDirectory.js';
import type { SessionContext } from './sessionContext.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Periodic status report of an endpoint. */
export interface EndpointHeartbeat {
  endpoint: EndpointRecord;
  /** Increases with each heartbeat within an incarnation of the endpoint. */
  sequence: number;
  /** Time on the endpoint's clock in milliseconds, if reported. */
  clockMs?: number;
}

/** Heartbeat intervals without contact after which an endpoint without runs is removed. */
const REMOVE_AFTER_HEARTBEATS = 20;

/** Receives changes of endpoints. */
export interface EndpointServiceListener {
  /** The endpoint is new, has restarted, or has changed properties. */
  onChanged(id: string): void;
}

function isSame(a: EndpointRecord, b: EndpointRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Maintains the registered endpoints from their heartbeats. */
export class EndpointService {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;
  private readonly listener: EndpointServiceListener;
  /** Registrations that are not yet durable, by endpoint id. */
  private readonly registrations = new Map<string, Promise<void>>();

  constructor(
    context: SessionContext,
    directory: EndpointDirectory,
    listener: EndpointServiceListener,
  ) {
    this.context = context;
    this.directory = directory;
    this.listener = listener;
  }

  /**
   * Processes a heartbeat. Resolves when the last reported registration of the endpoint is durable;
   * late heartbeats of earlier incarnations are ignored.
   */
  async heartbeat(heartbeat: EndpointHeartbeat): Promise<void> {
    const { id } = heartbeat.endpoint;
    if (this.observe(heartbeat)) this.register(heartbeat);
    // A repeated heartbeat must not be acknowledged before the change that it reports is durable.
    await this.registrations.get(id);
  }

  /** Handles the shutdown of an endpoint; its runs are lost once it no longer responds. */
  leave(id: string): void {
    const agent = this.directory.find(id);
    if (!agent) return;
    this.context.logger.info('endpoint leaves', { endpoint: id, runs: agent.runs.size });
    agent.isLeaving = true;
    agent.requestInspection();
  }

  /** Removes an endpoint that has left or has been unresponsive for long. */
  remove(id: string, reason: string): void {
    this.context.logger.info('endpoint is forgotten', { endpoint: id, reason });
    this.directory.remove(id, reason);
    this.context.propose({ type: 'unregister', id }).catch((err: Error) => {
      this.context.logger.warn('failed to unregister endpoint', { id, err: err.message });
    });
  }

  /** Removes the endpoints without runs that have sent no heartbeat for long. */
  removeUnresponsive(): void {
    const silenceMs = this.context.timing.heartbeatMs * REMOVE_AFTER_HEARTBEATS;
    const nowMs = performance.now();
    for (const { id, runs, lastHeartbeatMs } of this.directory.list()) {
      const isUnresponsive = nowMs - lastHeartbeatMs > silenceMs;
      if (isUnresponsive && runs.size === 0) this.remove(id, 'the endpoint is unresponsive');
    }
  }

  /** Updates the agent of an endpoint; returns whether its record has to be committed. */
  private observe({ endpoint, sequence, clockMs }: EndpointHeartbeat): boolean {
    const known = this.directory.find(endpoint.id);
    if (known) {
      const isEarlierIncarnation = endpoint.bornMs < known.record.bornMs;
      const isSameIncarnation = endpoint.bornMs === known.record.bornMs;
      if (isEarlierIncarnation || (isSameIncarnation && sequence <= known.lastSequence)) {
        return false;
      }
    }
    const isChanged = !known || !isSame(known.record, endpoint);
    const agent = isChanged ? this.directory.add(endpoint) : known;
    agent.lastHeartbeatMs = performance.now();
    agent.lastSequence = sequence;
    agent.isLeaving = false;
    if (clockMs !== undefined) {
      agent.clock.observeHeartbeat(clockMs, performance.now());
    }
    if (!known) agent.start();
    return isChanged;
  }

  /** Commits the record of an endpoint, after an earlier record of it. */
  private register({ endpoint, sequence }: EndpointHeartbeat): void {
    const { id } = endpoint;
    this.context.logger.info('endpoint has changed', {
      endpoint: id,
      address: endpoint.address,
      pool: endpoint.pool,
      bornMs: endpoint.bornMs,
      isDraining: endpoint.isDraining,
      sequence,
    });
    const previous = this.registrations.get(id);
    const registration = this.commitRecord(endpoint, previous);
    this.registrations.set(id, registration);
    // A failed registration stays: it fails all later heartbeats, which go to the next leader.
    registration.then(
      () => {
        if (this.registrations.get(id) === registration) this.registrations.delete(id);
      },
      () => undefined,
    );
  }

  private async commitRecord(record: EndpointRecord, previous?: Promise<void>): Promise<void> {
    await previous;
    await this.removePredecessors(record);
    await this.context.propose({ type: 'register', endpoint: record });
    this.listener.onChanged(record.id);
  }

  /** Removes older incarnations on the same instance or address, which must have ended. */
  private async removePredecessors(record: EndpointRecord): Promise<void> {
    for (const other of this.directory.list()) {
      if (other.id === record.id || other.record.bornMs >= record.bornMs) continue;
      const isSameInstance = record.instance !== '' && other.record.instance === record.instance;
      if (!isSameInstance && other.record.address !== record.address) continue;
      this.directory.remove(other.id, 'replaced by a newer incarnation');
      await this.context.propose({ type: 'unregister', id: other.id });
    }
  }
}
