import type {
  AcquireParams,
  AnnounceParams,
  ApplyNoteParams,
  CancelParams,
  EvacuationParams,
  HeartbeatParams,
  JoinReplicaParams,
  LeaveParams,
  LookupParams,
  PollParams,
  ReleaseParams,
  RemoveReplicaParams,
  SubmitJobParams,
} from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';
import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';

import { LeaderSession, type LeaderSessionOptions } from './leaderSession.js';
import { ReplicaManager } from './replicaManager.js';

/** Options of {@link Coordinator}. */
export interface CoordinatorOptions extends Omit<LeaderSessionOptions, 'scheduler' | 'health'> {
  network: PeerNetwork;
  /** Creates the scheduler of a new session. */
  createScheduler: () => Scheduler;
  /** Creates the health policy of a new session. */
  createHealth: () => HealthPolicy;
  /** Ids of the instances that may hold a replica. */
  replicaInstances: string[];
}

/** Runs a leader session while this replica is the leader, and serves calls of other instances. */
export class Coordinator implements AsyncDisposable {
  private readonly opts: CoordinatorOptions;
  private readonly unsubscribe: () => void;
  private readonly replicas: ReplicaManager;
  private session: LeaderSession | undefined;
  private sessionTerm = 0;

  constructor(opts: CoordinatorOptions) {
    this.opts = opts;
    this.replicas = new ReplicaManager({
      log: opts.log,
      logger: opts.logger,
      replicaInstances: opts.replicaInstances,
      instanceId: opts.instanceId,
      isReachable: opts.isReachable,
    });
    this.registerMethods();
    this.unsubscribe = opts.log.onRoleChange(() => this.handleRoleChange());
    this.handleRoleChange();
  }

  /**
   * Returns the session of the current leadership.
   *
   * @throws {RefusalError} of type `no-leader` if this instance is not the valid leader.
   */
  requireSession(): LeaderSession {
    const { session } = this;
    if (!session) {
      throw new RefusalError({
        type: 'no-leader',
        runState: 'not-run',
        message: `instance ${this.opts.instanceId} is not the leader`,
        details: { leaderId: this.opts.log.leaderId },
      });
    }
    session.assertValid();
    return session;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.unsubscribe();
    await this.endSession();
  }

  private handleRoleChange(): void {
    const { log, logger } = this.opts;
    if (log.role !== 'leader') {
      this.endSession().catch(() => {});
      return;
    }
    const { term } = log;
    if (this.session && this.sessionTerm === term) return;
    this.endSession().catch(() => {});
    this.startSession(term).catch((err: Error) => {
      logger.warn('could not start the leader session', { term, err: err.message });
    });
  }

  private async startSession(term: number): Promise<void> {
    const { log, logger, createScheduler, createHealth } = this.opts;
    await log.whenReadyToLead();
    if (log.role !== 'leader' || log.term !== term || this.session) return;
    this.session = new LeaderSession({
      ...this.opts,
      scheduler: createScheduler(),
      health: createHealth(),
    });
    this.sessionTerm = term;
    logger.info('leader session started', { term });
  }

  private async endSession(): Promise<void> {
    const { session } = this;
    this.session = undefined;
    if (!session) return;
    this.opts.logger.info('leader session ended', { term: this.sessionTerm });
    await session[Symbol.asyncDispose]();
  }

  private registerMethods(): void {
    this.registerMethod<PollParams>('gateway.poll', (s, params) => s.sessions.poll(params));
    this.registerMethod<AcquireParams>('placements.acquire', (s, params) =>
      s.requests.acquire(params),
    );
    this.registerMethod<ReleaseParams>('placements.release', (s, params) =>
      s.requests.release(params),
    );
    this.registerMethod<SubmitJobParams>('jobs.submit', (s, params) => s.jobs.submit(params));
    this.registerMethod<CancelParams>('jobs.cancel', (s, params) => s.jobs.cancel(params));
    this.registerMethod<LookupParams>('jobs.lookup', (s, params) => s.jobs.lookup(params));
    this.registerMethod<LookupParams>(
      'requests.lookup',
      (s, params) => s.requests.lookup(params.id) ?? null,
    );
    this.registerMethod<AnnounceParams>('endpoints.announce', (s, params) =>
      s.leases.announce(params.announcement),
    );
    this.registerMethod<HeartbeatParams>('endpoints.heartbeat', (s, params) =>
      s.leases.handleHeartbeat(params),
    );
    this.registerMethod<LeaveParams>('endpoints.leave', (s, params) => s.leases.leave(params.id));
    this.registerMethod<ApplyNoteParams>('notes.apply', (s, params) => s.notes.apply(params));
    this.registerMethod<{ number: number }>('notes.force', (s, params) =>
      s.notes.readNoteStates(params.number),
    );
    this.registerMethod('evacuations.read', (s) => s.evacuations.read());
    this.registerMethod<EvacuationParams>('evacuations.begin', (s, params) =>
      s.evacuations.begin(params),
    );
    this.registerMethod<EvacuationParams>('evacuations.end', (s, params) =>
      s.evacuations.end(params),
    );
    this.registerMethod('status.read', (s) => s.status.readStatus());
    this.registerMethod('endpoints.list', (s) => s.status.listEndpoints());
    this.registerMethod('config.read', () => this.opts.state.config);
    this.registerMethod<{ after?: number }>('audit.read', (_, params) =>
      this.opts.state.configTable.auditTrail.filter((entry) => entry.index > (params.after ?? 0)),
    );
    this.registerMethod<JoinReplicaParams>('replicas.join', (_, params) =>
      this.replicas.join(params),
    );
    this.registerMethod<RemoveReplicaParams>('replicas.remove', (_, params) =>
      this.replicas.remove(params),
    );
  }

  private registerMethod<Params>(
    method: string,
    handler: (session: LeaderSession, params: Params) => unknown,
  ): void {
    this.opts.network.handle(method, (params) => handler(this.requireSession(), params as Params));
  }
}
