import { CommitUnknownError } from '@lagoongap/consensus/commitUnknownError.js';
import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { RunState } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { PeerNetwork } from '@lagoongap/peering/peerNetwork.js';

import type { AdviceReport } from './adviceBroker.js';
import type { HeartbeatFault } from './endpointClaims.js';
import type { EndpointHeartbeat } from './endpointService.js';
import type { EvacuationCall } from './evacuationService.js';
import type { JobCall, JobResponse } from './jobCalls.js';
import { LeaderGate } from './leaderGate.js';
import { DEFAULT_CELL_LIMITS } from './cellLimits.js';
import type { WorkflowSessionOptions } from './sessionContext.js';
import { SuspensionDetector } from './suspensionDetector.js';
import { admitWave } from './waveAdmission.js';
import { WorkflowSession } from './workflowSession.js';

/** Options of a {@link WorkflowCoordinator}. */
export interface WorkflowCoordinatorOptions extends Omit<WorkflowSessionOptions, 'isValid'> {
  instanceId: string;
  network: PeerNetwork;
  /** Duration of the leader's validity in milliseconds. */
  validityMs: number;
}

/** Response to a change of the configuration. */
export type ConfigureResponse = { type: 'accepted' } | { type: 'invalid'; reason: string };

/** Response to the heartbeat of an endpoint. */
export interface HeartbeatResponse {
  /** Instance id of the leader. */
  leader: string;
  /** Present if the heartbeat was rejected. */
  fault?: HeartbeatFault;
}

/** Maximum time for which a poll for an advisor query is kept open. */
const MAX_EXCHANGE_WAIT_MS = 1000;

/** Returns whether a response confirms a committed change, which no loss of leadership undoes. */
function confirmsCommit({ operation }: JobCall, { type }: JobResponse): boolean {
  if (type === 'no-job') return operation === 'cancel';
  return type === 'accepted' || type === 'cancelled';
}

/** Runs a session while this replica leads, and handles the calls of other instances. */
export class WorkflowCoordinator implements AsyncDisposable {
  private readonly opts: WorkflowCoordinatorOptions;
  private readonly suspensionDetector: SuspensionDetector;
  private readonly unsubscribe: () => void;
  private readonly gate = new LeaderGate(() => this.isLeaderDecided());
  private session: WorkflowSession | undefined;
  private sessionTerm = 0;

  constructor(opts: WorkflowCoordinatorOptions) {
    this.opts = opts;
    this.suspensionDetector = new SuspensionDetector(opts.validityMs);
    this.registerHandlers();
    this.unsubscribe = opts.log.onRoleChange(() => this.handleRoleChange());
    this.handleRoleChange();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.unsubscribe();
    this.gate[Symbol.dispose]();
    await this.endSession();
  }

  /**
   * Resolves when this replica leads or knows the leader, or after a short time without either.
   *
   * @param callEndMs - Monotonic time at which the call that waits ends.
   */
  whenLeaderDecided(callEndMs: number): Promise<void> {
    return this.gate.wait(callEndMs);
  }

  private get log(): ReplicatedLog {
    return this.opts.log;
  }

  private isValid(): boolean {
    return this.suspensionDetector.isClockReliable() && this.log.isLeaderValid();
  }

  private isLeaderDecided(): boolean {
    const { role, leaderId } = this.log;
    if (role === 'leader') return this.session !== undefined && this.isValid();
    return leaderId !== undefined;
  }

  private handleRoleChange(): void {
    const { role, term } = this.log;
    if (role === 'leader' && this.sessionTerm !== term) {
      this.sessionTerm = term;
      this.beginSession(term).catch((err: Error) => {
        this.opts.logger.warn('failed to begin leadership', { term, err: err.message });
      });
    } else if (role !== 'leader') {
      this.sessionTerm = 0;
      this.endSession().catch((err: Error) => {
        this.opts.logger.warn('failed to end leadership', { err: err.message });
      });
    }
  }

  private async beginSession(term: number): Promise<void> {
    const electedMs = performance.now();
    await this.endSession();
    await this.log.whenReadyToLead();
    if (this.log.term !== term || this.log.role !== 'leader') return;
    const isValid = () => this.isValid();
    const isClockReliable = () => this.suspensionDetector.isClockReliable();
    const session = new WorkflowSession({ ...this.opts, isValid, isClockReliable, electedMs });
    this.session = session;
    session.takeover.recordReached('applied');
    session.start();
  }

  private async endSession(): Promise<void> {
    const { session } = this;
    this.session = undefined;
    await session?.[Symbol.asyncDispose]();
  }

  /** Returns the session of a valid leadership; throws a `no-leader` refusal if there is none. */
  private requireSession(): WorkflowSession {
    const { session } = this;
    if (!session || !this.isValid()) throw this.createRefusal('not-run');
    return session;
  }

  /** Rejects a response that commits nothing and was computed before leadership was lost. */
  private ensureStillLeading<Response>(session: WorkflowSession, response: Response): Response {
    if (this.requireSession() !== session) throw this.createRefusal('not-run');
    return response;
  }

  private createRefusal(runState: RunState, cause?: Error): RefusalError {
    const refusal = {
      type: 'no-leader' as const,
      runState,
      message: `instance ${this.opts.instanceId} is not the leader`,
      details: this.session ? { reason: 'leader-not-valid' } : { leaderId: this.log.leaderId },
    };
    return new RefusalError(refusal, cause);
  }

  /**
   * Converts an error of the replicated log to a refusal.
   *
   * @param notAppended - Run state of a call whose last proposal was not appended.
   */
  private toRefusal(err: unknown, notAppended: RunState): unknown {
    if (err instanceof NotLeaderError) return this.createRefusal(notAppended, err);
    if (err instanceof CommitUnknownError) return this.createRefusal('unknown', err);
    return err;
  }

  private registerHandlers(): void {
    this.registerHandler<JobCall>('jobs.call', async (session, call) => {
      const response = await session.jobs.handle(call);
      return confirmsCommit(call, response) ? response : this.ensureStillLeading(session, response);
    });
    this.registerHandler<EndpointHeartbeat>(
      'endpoints.heartbeat',
      async (session, heartbeat) => {
        const fault = await session.endpoints.heartbeat(heartbeat);
        return { leader: this.opts.instanceId, fault } satisfies HeartbeatResponse;
      },
      // A predecessor of the endpoint may have been removed before.
      'unknown',
    );
    this.registerHandler<{ id: string }>('endpoints.leave', (session, { id }) =>
      session.endpoints.leave(id),
    );
    this.registerHandler<{ document: string }>('config.apply', (_, { document }) =>
      this.configure(document),
    );
    this.registerHandler('config.read', () => this.opts.state.config ?? null);
    this.registerHandler<{ reports: AdviceReport[]; waitMs: number }>(
      'advice.exchange',
      (session, { reports, waitMs }, from) =>
        session.broker.exchange(from, reports, Math.min(waitMs, MAX_EXCHANGE_WAIT_MS)),
    );
    this.registerHandler<{
      number: number;
      instances: string[];
      withinMs: number;
      maxDown: number;
    }>('waves.open', async (_, params) => {
      const { state, limits = DEFAULT_CELL_LIMITS } = this.opts;
      if (!state.waves.has(params.number)) admitWave(state.waves, limits, params.instances);
      await this.log.propose({ type: 'open-wave', ...params });
      return { type: 'accepted' };
    });
    this.registerHandler<{ number: number }>(
      'waves.read',
      (_, { number }) => this.opts.state.waves.get(number) ?? null,
    );
    this.registerHandler<EvacuationCall>('evacuations.begin', (session, call) =>
      session.evacuations.begin(call),
    );
    this.registerHandler<EvacuationCall>('evacuations.end', (session, call) =>
      session.evacuations.end(call),
    );
    this.registerHandler('evacuations.read', (session) => session.evacuations.read());
  }

  private async configure(document: string): Promise<ConfigureResponse> {
    let version: number;
    try {
      ({ version } = this.opts.parseConfig(document));
    } catch (err) {
      const reason = (err as Error).message;
      this.opts.logger.info('configuration is invalid', { reason });
      return { type: 'invalid', reason };
    }
    const { state, logger } = this.opts;
    const current = state.config?.version;
    if (current !== undefined && version <= current) {
      logger.info('configuration ignored: version is not newer', { version, current });
      return { type: 'accepted' };
    }
    await this.log.propose({ type: 'configure', version, document });
    logger.notice('configuration is in force', { version, current: state.config?.version });
    return { type: 'accepted' };
  }

  private registerHandler<Params>(
    method: string,
    handler: (session: WorkflowSession, params: Params, from: string) => unknown,
    notAppended: RunState = 'not-run',
  ): void {
    this.opts.network.handle(method, async (params, from, endMs) => {
      await this.gate.wait(endMs);
      const session = this.requireSession();
      try {
        const handle = (): unknown => handler(session, params as Params, from);
        return await session.takeover.measureCall(method, handle);
      } catch (err) {
        throw this.toRefusal(err, notAppended);
      }
    });
  }
}
