import type { EndpointDirectory } from './endpointDirectory.js';
import type { SessionContext } from './sessionContext.js';
import type { EndpointRecord } from './workflowRecords.js';

/** What an endpoint says of itself from time to time. */
export interface EndpointHeartbeat {
  endpoint: EndpointRecord;
  /** Increases with each heartbeat in a life of the endpoint. */
  sequence: number;
  /** Time on the endpoint's clock in milliseconds, if it said so. */
  clockMs?: number;
}

/** Silence after which an endpoint without work is forgotten, in heartbeats. */
const FORGET_HEARTBEATS = 20;

/** Receives changes of endpoints. */
export interface EndpointServiceListener {
  /** The endpoint is new, has begun a new life, or has other properties. */
  onChanged(id: string): void;
}

function isSame(a: EndpointRecord, b: EndpointRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Keeps the list of endpoints from what they report. */
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
   * Takes up a heartbeat. Resolves when a new endpoint, a new life of one or a change of its
   * properties is durable; late heartbeats of earlier lives change nothing.
   */
  async heartbeat({ endpoint, sequence, clockMs }: EndpointHeartbeat): Promise<void> {
    const known = this.directory.find(endpoint.id);
    if (known) {
      const isEarlierLife = endpoint.bornMs < known.record.bornMs;
      const isSameLife = endpoint.bornMs === known.record.bornMs;
      if (isEarlierLife || (isSameLife && sequence <= known.lastSequence)) return;
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

  /** Takes up that an endpoint ends; what it runs counts as lost when it no longer answers. */
  leave(id: string): void {
    const agent = this.directory.find(id);
    if (!agent) return;
    this.context.logger.info('endpoint leaves', { endpoint: id, runs: agent.runs.size });
    agent.isLeaving = true;
    agent.poke();
  }

  /** Forgets an endpoint that has ended or has been silent for long. */
  forget(id: string, reason: string): void {
    this.context.logger.info('endpoint is forgotten', { endpoint: id, reason });
    this.directory.remove(id, reason);
    this.context.propose({ type: 'unregister', id }).catch((err: Error) => {
      this.context.logger.warn('endpoint could not be forgotten', { id, err: err.message });
    });
  }

  /** Forgets the endpoints without work that have been silent for long. */
  forgetSilent(): void {
    const silenceMs = this.context.timing.heartbeatMs * FORGET_HEARTBEATS;
    const nowMs = performance.now();
    for (const { id, runs, lastHeartbeatMs } of this.directory.list()) {
      const isSilent = nowMs - lastHeartbeatMs > silenceMs;
      if (isSilent && runs.size === 0) this.forget(id, 'the endpoint is silent');
    }
  }

  /** An instance or address has one life at a time: a newer one shows that the older has ended. */
  private async removePredecessors(record: EndpointRecord): Promise<void> {
    for (const other of this.directory.list()) {
      if (other.id === record.id || other.record.bornMs >= record.bornMs) continue;
      const isSameInstance = record.instance !== '' && other.record.instance === record.instance;
      if (!isSameInstance && other.record.address !== record.address) continue;
      this.directory.remove(other.id, 'a newer life took its place');
      await this.context.propose({ type: 'unregister', id: other.id });
    }
  }
}
