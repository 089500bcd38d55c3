import type {
  EndpointAnnouncement,
  EndpointState,
  HeartbeatResponse,
} from '@lagoongap/model/endpoint.js';
import { createId } from '@lagoongap/model/idGenerator.js';
import type { Log } from '@lagoongap/model/log.js';
import type { AnnounceResult, HeartbeatParams } from '@lagoongap/model/messages.js';
import { minResources } from '@lagoongap/model/resources.js';
import type { RefusalType } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { AttemptRecord, EndpointRecord, FinishedAttempt } from '@lagoongap/state/records.js';

import type { AttemptCloser } from './attemptCloser.js';
import type { CommitQueue } from './commitQueue.js';
import type { CrashDetector } from './crashDetector.js';
import { EXPIRY_MARGIN_FACTOR, type CoordinatorTiming } from './coordinatorTiming.js';
import type { ValidityGuard } from './validityGuard.js';

interface Lease {
  expiresAtMs: number;
  lastHeartbeatAtMs: number;
  /** Whether the lease expired and the attempts are being closed; the endpoint must re-announce. */
  isExpiring: boolean;
}

/** Number of heartbeat intervals without contact after which an endpoint gets no new work. */
const UNRESPONSIVE_AFTER_HEARTBEATS = 2.5;

/** Options of {@link EndpointLeases}. */
export interface EndpointLeasesOptions {
  state: ClusterState;
  scheduler: Scheduler;
  closer: AttemptCloser;
  commits: CommitQueue;
  guard: ValidityGuard;
  timing: CoordinatorTiming;
  log: Log;
  isEjected: (endpointId: string) => boolean;
  /** Returns whether an attempt that is missing from a heartbeat can be declared lost. */
  canDeclareLost: (attempt: AttemptRecord, nowMs: number) => boolean;
  /** Returns whether a lost attempt is the last attempt of its request. */
  isLastAttempt: (attempt: AttemptRecord) => boolean;
  onRunning: (attemptId: string) => void;
  crashes: CrashDetector;
  /** Called with each endpoint state that is passed to the scheduler. */
  onPublished: (endpoint: EndpointRecord, state: EndpointState) => void;
  onRemoved: (endpointId: string) => void;
  scheduleCycle: () => void;
}

function refuse(type: RefusalType, message: string): never {
  throw new RefusalError({ type, runState: 'not-run', message });
}

/**
 * Leases of endpoints. Renewals are kept only in the memory of the leader. A new leader grants each
 * known endpoint a full lease, because the previous leader may have renewed it just before.
 */
export class EndpointLeases {
  private readonly opts: EndpointLeasesOptions;
  private readonly leases = new Map<string, Lease>();

  constructor(opts: EndpointLeasesOptions) {
    this.opts = opts;
    for (const endpoint of opts.state.endpoints.values()) {
      this.renew(endpoint.announcement.id);
      this.publish(endpoint);
    }
  }

  /** Registers an endpoint; resolves with a new session once the registration is committed. */
  async announce(announcement: EndpointAnnouncement): Promise<AnnounceResult> {
    const { guard, commits, state, timing } = this.opts;
    guard.assertValid();
    this.assertNotInUse(announcement);
    const session = createId('session');
    this.publishSmallerSize(announcement);
    await commits.commit({ type: 'announce-endpoint', announcement, session });
    guard.assertStillValid();
    this.renew(announcement.id);
    this.publish(state.endpoints.get(announcement.id)!);
    this.opts.scheduleCycle();
    return {
      session,
      leaseMs: timing.endpointLeaseMs,
      heartbeatMs: timing.endpointHeartbeatMs,
    };
  }

  /** Renews the lease and records finished and lost attempts. */
  async handleHeartbeat(params: HeartbeatParams): Promise<HeartbeatResponse> {
    const { guard, state, timing, closer } = this.opts;
    guard.assertValid();
    const { id, heartbeat } = params;
    const endpoint = state.endpoints.get(id);
    const lease = this.leases.get(id);
    if (!endpoint || !lease || lease.isExpiring || endpoint.session !== heartbeat.session) {
      refuse('not-found', `endpoint ${id} has no such session; it must announce itself`);
    }
    const wasUnresponsive = this.resolveState(endpoint) === 'silent';
    this.renew(id);
    if (wasUnresponsive) this.publish(endpoint);
    this.opts.crashes.examineHeartbeat(id, heartbeat);
    this.processRunning(id, heartbeat.running);
    const finished = this.listFinished(id, heartbeat.finished);
    const lost = this.listLost(params);
    await closer.close([...finished, ...lost]);
    guard.assertStillValid();
    return {
      leaseMs: timing.endpointLeaseMs,
      acknowledged: heartbeat.finished.map(({ attempt }) => attempt),
      actions: [
        ...this.listActions(id, heartbeat.running),
        // A start order that is still in transit must not start an attempt declared lost.
        ...lost.map(({ attempt }) => ({ attempt, action: 'stop' as const })),
      ],
    };
  }

  /** Marks an endpoint as leaving, so that it gets no new work. */
  async leave(id: string): Promise<void> {
    const { guard, commits, state } = this.opts;
    guard.assertValid();
    const endpoint = state.endpoints.get(id);
    if (!endpoint) refuse('not-found', `there is no endpoint ${id}`);
    // Updated before the commit, so that no later scheduling cycle places work there.
    this.opts.scheduler.upsertEndpoint({
      ...endpoint.announcement,
      state: 'leaving',
      ejected: this.opts.isEjected(id),
    });
    await commits.commit({ type: 'leave-endpoint', id });
  }

  /** Closes the attempts of endpoints whose lease has expired; publishes unresponsive endpoints. */
  sweep(nowMs: number): void {
    for (const [id, lease] of this.leases) {
      const endpoint = this.opts.state.endpoints.get(id);
      if (!endpoint || lease.isExpiring) continue;
      if (nowMs >= lease.expiresAtMs) this.expire(endpoint, lease);
      else if (this.resolveState(endpoint) === 'silent') this.publish(endpoint);
    }
  }

  resolveState(endpoint: EndpointRecord): EndpointState {
    const lease = this.leases.get(endpoint.announcement.id);
    const unresponsiveAfterMs =
      this.opts.timing.endpointHeartbeatMs * UNRESPONSIVE_AFTER_HEARTBEATS;
    if (!lease || performance.now() - lease.lastHeartbeatAtMs > unresponsiveAfterMs)
      return 'silent';
    return endpoint.leaving ? 'leaving' : 'ready';
  }

  /** Returns the number of endpoints that accept new work, whether they are ejected or not. */
  countReady(): number {
    let count = 0;
    for (const endpoint of this.opts.state.endpoints.values()) {
      if (this.resolveState(endpoint) === 'ready') count += 1;
    }
    return count;
  }

  /** Passes the current state of an endpoint to the scheduler. */
  publish(endpoint: EndpointRecord): void {
    const { id } = endpoint.announcement;
    const state = this.resolveState(endpoint);
    this.opts.onPublished(endpoint, state);
    this.opts.scheduler.upsertEndpoint({
      ...endpoint.announcement,
      state,
      ejected: this.opts.isEjected(id),
    });
  }

  /** Passes a smaller size to the scheduler before its commit; a larger one counts after it. */
  private publishSmallerSize({ id, size }: EndpointAnnouncement): void {
    const known = this.opts.state.endpoints.get(id);
    if (!known) return;
    this.opts.scheduler.upsertEndpoint({
      ...known.announcement,
      size: minResources(known.announcement.size, size),
      state: this.resolveState(known),
      ejected: this.opts.isEjected(id),
    });
  }

  private renew(id: string): void {
    const nowMs = performance.now();
    const expiresAtMs = nowMs + this.opts.timing.endpointLeaseMs * EXPIRY_MARGIN_FACTOR;
    this.leases.set(id, { expiresAtMs, lastHeartbeatAtMs: nowMs, isExpiring: false });
  }

  private assertNotInUse(announcement: EndpointAnnouncement): void {
    const known = this.opts.state.endpoints.get(announcement.id);
    const lease = this.leases.get(announcement.id);
    if (lease?.isExpiring) {
      refuse('conflict', `the lease of endpoint ${announcement.id} is expiring; try again`);
    }
    if (!known || known.announcement.url === announcement.url) return;
    // A silent or leaving process may run its attempts until its lease expires.
    const hasAttempts = this.opts.state.attempts.listByEndpoint(announcement.id).size > 0;
    if (!hasAttempts && (this.resolveState(known) === 'silent' || known.leaving)) return;
    refuse('conflict', `endpoint id ${announcement.id} is in use at ${known.announcement.url}`);
  }

  private processRunning(id: string, running: HeartbeatParams['heartbeat']['running']): void {
    const { state, scheduler, onRunning } = this.opts;
    const nowMs = performance.now();
    for (const { attempt, usage } of running) {
      if (state.attempts.get(attempt)?.endpointId !== id) continue;
      onRunning(attempt);
      if (usage) scheduler.observe(attempt, usage, nowMs);
    }
  }

  private listFinished(
    id: string,
    reports: HeartbeatParams['heartbeat']['finished'],
  ): FinishedAttempt[] {
    // The end of a request is reported by the gateway that holds the caller's connection.
    return reports.filter(({ attempt }) => {
      const record = this.opts.state.attempts.get(attempt);
      return record?.endpointId === id && record.kind !== 'request';
    });
  }

  private listLost({ id, heartbeat }: HeartbeatParams): FinishedAttempt[] {
    const { state, canDeclareLost, isLastAttempt } = this.opts;
    const running = new Set(heartbeat.running.map((report) => report.attempt));
    const finished = new Set(heartbeat.finished.map((report) => report.attempt));
    const nowMs = performance.now();
    const lost: FinishedAttempt[] = [];
    for (const attemptId of state.attempts.listByEndpoint(id)) {
      if (running.has(attemptId)) continue;
      const attempt = state.attempts.get(attemptId)!;
      if (attempt.kind !== 'request' && finished.has(attemptId)) continue;
      if (!canDeclareLost(attempt, nowMs)) continue;
      lost.push({
        attempt: attemptId,
        outcome: 'lost',
        message: 'the endpoint no longer runs the attempt',
        final: isLastAttempt(attempt),
      });
    }
    return lost;
  }

  private listActions(
    id: string,
    running: HeartbeatParams['heartbeat']['running'],
  ): HeartbeatResponse['actions'] {
    const { state } = this.opts;
    const actions: HeartbeatResponse['actions'] = [];
    for (const { attempt: attemptId } of running) {
      const attempt = state.attempts.get(attemptId);
      const job =
        attempt && attempt.kind !== 'request' ? state.jobs.get(attempt.unitId) : undefined;
      const isUnknown = attempt?.endpointId !== id;
      if (isUnknown || job?.cancelled || job?.stopping) {
        actions.push({ attempt: attemptId, action: 'stop' });
      }
    }
    return actions;
  }

  private expire(endpoint: EndpointRecord, lease: Lease): void {
    const { state, closer, commits, scheduler, guard, log, isLastAttempt } = this.opts;
    if (!guard.isValid()) return;
    lease.isExpiring = true;
    const { id } = endpoint.announcement;
    this.publish(endpoint);
    this.opts.crashes.examineExpiry(id);
    const lost = [...state.attempts.listByEndpoint(id)].map((attempt): FinishedAttempt => ({
      attempt,
      outcome: 'lost',
      message: 'the lease of the endpoint ran out',
      final: isLastAttempt(state.attempts.get(attempt)!),
    }));
    log.warn('endpoint lease expired', { endpoint: id, attempts: lost.length });
    closer
      .close(lost)
      .then(() => commits.commit<boolean>({ type: 'remove-endpoint', id }))
      .then((isRemoved) => {
        if (!isRemoved) {
          // Work was placed on the endpoint in the meantime; the next sweep closes it.
          lease.isExpiring = false;
          return;
        }
        this.leases.delete(id);
        scheduler.removeEndpoint(id);
        this.opts.onRemoved(id);
      })
      .catch((err: Error) => {
        lease.isExpiring = false;
        log.warn('could not commit the expiry of an endpoint lease', {
          endpoint: id,
          err: err.message,
        });
      });
  }
}
