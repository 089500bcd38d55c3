import { RefusalError } from '@lagoongap/model/refusalError.js';

import { REPLACED_REASON } from './endpointAgent.js';
import { EndpointClaims, supersedes, type HeartbeatFault } from './endpointClaims.js';
import { isStoredColdKept, readStoredColdMs } from './endpointWarmup.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { LateHeartbeats } from './lateHeartbeats.js';
import type { SessionContext } from './sessionContext.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Periodic status report of an endpoint. */
export interface EndpointHeartbeat {
  endpoint: EndpointRecord;
  /** Increases with each heartbeat within an incarnation of the endpoint. */
  sequence: number;
  /** Time on the endpoint's clock in milliseconds, if reported. */
  clockMs?: number;
  /** Time for which the endpoint remains slow in milliseconds; warm if absent. */
  coldLeftMs?: number;
}

/** Heartbeat intervals without contact after which an endpoint without runs is removed. */
const REMOVE_AFTER_HEARTBEATS = 20;

/** Heartbeat intervals after which an endpoint that has never responded yields to a new one. */
const UNPROVED_AFTER_HEARTBEATS = 2;

/** Receives changes of endpoints. */
export interface EndpointServiceListener {
  /** The endpoint is new, has restarted, or has changed properties. */
  onChanged(id: string): void;
}

/** Returns whether a heartbeat reports the known record, whatever its sequence. */
function isSame(known: EndpointRecord, endpoint: EndpointRecord, coldLeftMs: number): boolean {
  const { sequence, coldUntilMs } = known;
  if (!isStoredColdKept(readStoredColdMs(coldUntilMs, Date.now()), coldLeftMs)) return false;
  return JSON.stringify(known) === JSON.stringify({ ...endpoint, sequence, coldUntilMs });
}

/**
 * Returns the record that a heartbeat reports. Scheduling reads the records of all endpoints in each
 * cycle; a literal gives them one shape, which a spread does not.
 */
function createRecord(
  { endpoint, sequence }: EndpointHeartbeat,
  coldLeftMs: number,
): EndpointRecord {
  return {
    id: endpoint.id,
    address: endpoint.address,
    dataCentre: endpoint.dataCentre,
    pool: endpoint.pool,
    instance: endpoint.instance,
    bornMs: endpoint.bornMs,
    capacity: endpoint.capacity,
    kind: endpoint.kind,
    rack: endpoint.rack,
    labels: endpoint.labels,
    isDraining: endpoint.isDraining,
    sequence,
    coldUntilMs: coldLeftMs > 0 ? Math.round(Date.now() + coldLeftMs) : 0,
  };
}

function isSameIncarnation(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.bornMs === b.bornMs && a.address === b.address && a.instance === b.instance;
}

/** Maintains the registered endpoints from their heartbeats. */
export class EndpointService {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;
  private readonly listener: EndpointServiceListener;
  /** Registrations that are not yet durable, by endpoint id. */
  private readonly registrations = new Map<string, Promise<void>>();
  private readonly lateHeartbeats: LateHeartbeats;
  private readonly claims: EndpointClaims;

  constructor(
    context: SessionContext,
    directory: EndpointDirectory,
    listener: EndpointServiceListener,
  ) {
    this.context = context;
    this.directory = directory;
    this.listener = listener;
    this.claims = new EndpointClaims(context, directory);
    this.lateHeartbeats = new LateHeartbeats(context.timing.heartbeatMs);
  }

  /**
   * Processes a heartbeat. Resolves when the last reported registration of the endpoint is durable;
   * late heartbeats of earlier incarnations are ignored. Resolves with a fault if the heartbeat
   * cannot come from the endpoint that it names; rejects with an `over-limit` refusal if there is no
   * room for a new endpoint.
   */
  async heartbeat(heartbeat: EndpointHeartbeat): Promise<HeartbeatFault | undefined> {
    const { endpoint } = heartbeat;
    const { id } = endpoint;
    const known = this.directory.find(id)?.record;
    const isNewIncarnation = !known || !isSameIncarnation(known, endpoint);
    if (isNewIncarnation && this.claims.isContested(endpoint)) {
      const fault = await this.claims.check(endpoint);
      if (fault) return fault;
      if (await this.claims.hasReturned(endpoint)) this.restore(heartbeat);
    }
    if (!this.directory.find(id)) this.makeRoom();
    const changed = this.observe(heartbeat);
    if (changed) this.register(changed, isNewIncarnation);
    // A repeated heartbeat must not be acknowledged before the change that it reports is durable.
    await this.registrations.get(id);
    return undefined;
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
    this.lateHeartbeats.clear(id);
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

  /**
   * Removes the oldest endpoint that has never responded if all places are taken, so that heartbeats
   * of endpoints that do not exist do not keep others out.
   */
  private makeRoom(): void {
    const { limits, timing } = this.context;
    const { size } = this.directory;
    if (size < limits.maxEndpoints) return;
    const sinceMs = performance.now() - timing.heartbeatMs * UNPROVED_AFTER_HEARTBEATS;
    const unproved = this.directory.findUnproved(sinceMs);
    if (unproved) {
      this.remove(unproved.id, 'the endpoint has never responded, and another one needs its place');
      return;
    }
    throw new RefusalError({
      type: 'over-limit',
      runState: 'not-run',
      message: `there are ${size} endpoints, which is the limit`,
      retryAfterMs: timing.heartbeatMs,
    });
  }

  /** Replaces the record of a false incarnation, which never responded, by that of the sound one. */
  private restore(heartbeat: EndpointHeartbeat): void {
    const { endpoint } = heartbeat;
    this.context.logger.warn('endpoint was superseded by a false heartbeat', {
      endpoint: endpoint.id,
      bornMs: endpoint.bornMs,
      falseBornMs: this.directory.find(endpoint.id)?.record.bornMs,
    });
    const record = createRecord(heartbeat, this.readColdMs(heartbeat));
    this.directory.add(record).lastSequence = -1;
    this.register(record, false);
  }

  private readColdMs({ coldLeftMs = 0 }: EndpointHeartbeat): number {
    return this.context.features.has('warm-up') ? coldLeftMs : 0;
  }

  /** Updates the agent of an endpoint; returns its record if that has to be committed. */
  private observe(heartbeat: EndpointHeartbeat): EndpointRecord | undefined {
    const { endpoint, sequence, clockMs } = heartbeat;
    const known = this.directory.find(endpoint.id);
    let isSequenceReset = false;
    if (known) {
      const isEarlierIncarnation = endpoint.bornMs < known.record.bornMs;
      const isSameBirth = endpoint.bornMs === known.record.bornMs;
      if (isEarlierIncarnation) return undefined;
      if (isSameBirth && sequence <= known.lastSequence) {
        const { id } = endpoint;
        isSequenceReset = this.lateHeartbeats.isCurrent(id, sequence, performance.now());
        if (!isSequenceReset) return undefined;
        this.context.logger.warn('sequence of an endpoint was too high', {
          endpoint: id,
          sequence,
          lastSequence: known.lastSequence,
        });
      }
    }
    this.lateHeartbeats.clear(endpoint.id);
    // The next leader needs a sequence that was reset as well.
    const coldLeftMs = this.readColdMs(heartbeat);
    const isChanged = !known || isSequenceReset || !isSame(known.record, endpoint, coldLeftMs);
    const changed = isChanged ? createRecord(heartbeat, coldLeftMs) : undefined;
    const agent = changed ? this.directory.add(changed) : known!;
    agent.lastHeartbeatMs = performance.now();
    agent.lastSequence = sequence;
    agent.isLeaving = false;
    agent.warmup.observe(coldLeftMs, agent.lastHeartbeatMs);
    if (clockMs !== undefined) agent.observeClock(clockMs);
    if (!known) agent.start();
    return changed;
  }

  /** Commits the record of an endpoint, after an earlier record of it. */
  private register(endpoint: EndpointRecord, isNewIncarnation: boolean): void {
    const { id, sequence } = endpoint;
    this.context.logger.info('endpoint has changed', {
      endpoint: id,
      address: endpoint.address,
      pool: endpoint.pool,
      bornMs: endpoint.bornMs,
      isDraining: endpoint.isDraining,
      sequence,
      coldLeftMs: readStoredColdMs(endpoint.coldUntilMs, Date.now()),
    });
    const previous = this.registrations.get(id);
    const registration = this.commitRecord(endpoint, isNewIncarnation, previous);
    this.registrations.set(id, registration);
    // A failed registration stays: it fails all later heartbeats, which go to the next leader.
    registration.then(
      () => {
        if (this.registrations.get(id) === registration) this.registrations.delete(id);
      },
      () => undefined,
    );
  }

  private async commitRecord(
    record: EndpointRecord,
    isNewIncarnation: boolean,
    previous?: Promise<void>,
  ): Promise<void> {
    await previous;
    if (isNewIncarnation) await this.removePredecessors(record);
    await this.context.propose({ type: 'register', endpoint: record });
    this.listener.onChanged(record.id);
  }

  /** Removes older incarnations on the same instance or address, which must have ended. */
  private async removePredecessors(record: EndpointRecord): Promise<void> {
    for (const other of this.directory.list()) {
      if (other.id === record.id || !supersedes(record, other.record)) continue;
      this.directory.remove(other.id, REPLACED_REASON);
      await this.context.propose({ type: 'unregister', id: other.id });
    }
  }
}
