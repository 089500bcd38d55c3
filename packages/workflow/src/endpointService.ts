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
   * Processes a heartbeat. Resolves when a new endpoint, a restart or a change of properties is
   * durable; late heartbeats of earlier incarnations are ignored.
   */
  async heartbeat({ endpoint, sequence, clockMs }: EndpointHeartbeat): Promise<void> {
    const known = this.directory.find(endpoint.id);
    if (known) {
      const isEarlierIncarnation = endpoint.bornMs < known.record.bornMs;
      const isSameIncarnation = endpoint.bornMs === known.record.bornMs;
      if (isEarlierIncarnation || (isSameIncarnation && sequence <= known.lastSequence)) return;
    }
    const record = endpoint;
    const isNew = !known;
    const isChanged = isNew || !isSame(known.record, record);
    const agent = isChanged ? this.directory.add(record) : known;
    agent.lastHeartbeatMs = performance.now();
    agent.lastSequence = sequence;
    agent.isLeaving = false;
    if (clockMs !== undefined) {
      const receivedMs = performance.now();
      agent.clock.observe({ clockMs, sentMs: receivedMs, receivedMs });
    }
    if (!isChanged) return;
    this.context.logger.info('endpoint has changed', {
      endpoint: record.id,
      address: record.address,
      pool: record.pool,
      bornMs: record.bornMs,
      isDraining: record.isDraining,
      sequence,
    });
    if (isNew) agent.start();
    await this.removePredecessors(record);
    await this.context.propose({ type: 'register', endpoint: record });
    this.listener.onChanged(record.id);
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
