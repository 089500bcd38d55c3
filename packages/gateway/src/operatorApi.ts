import {
  isDataCentreName,
  type EvacuationResult,
  type EvacuationSnapshot,
} from '@lagoongap/model/evacuationState.js';
import type {
  ApplyNoteParams,
  ApplyNoteResult,
  ClusterStatus,
  EndpointStatus,
  EvacuationParams,
  NoteStatusResult,
  RemoveReplicaParams,
  RemoveReplicaResult,
} from '@lagoongap/model/messages.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';

import { RefusalError } from '@lagoongap/model/refusalError.js';

import type { Authenticator } from './authenticator.js';
import { admitContents, MAX_CONTROL_BODY_BYTES, readBody } from './bodyReader.js';
import { refuse, sendJson } from './httpResponse.js';
import type { HttpRouter, RoutedCall } from './httpRouter.js';
import type { LeaderClient } from './leaderClient.js';

/** Options of {@link OperatorApi}. */
export interface OperatorApiOptions {
  authenticator: Authenticator;
  leader: LeaderClient;
  instances: string[];
  /** Starts a graceful shutdown of an instance. */
  drain: (instance: string) => Promise<void>;
}

const CALL_DEADLINE_MS = 15_000;

function readInteger(text: string | null, name: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) {
    refuse('invalid-input', `${name}: expected an integer of at least 0, got "${text}"`);
  }
  return value;
}

/** HTTP API for operators: release notes, status, audit and membership. */
export class OperatorApi {
  private readonly opts: OperatorApiOptions;

  constructor(opts: OperatorApiOptions) {
    this.opts = opts;
  }

  register(router: HttpRouter): void {
    router.add('POST', '/v1/notes', (call) => this.applyNote(call));
    router.add('GET', '/v1/notes/{number}', (call) => this.showNoteRollout(call));
    router.add('GET', '/v1/config', (call) =>
      this.sendReadResult<ClusterConfig>(call, 'config.read'),
    );
    router.add('GET', '/v1/status', (call) =>
      this.sendReadResult<ClusterStatus>(call, 'status.read'),
    );
    router.add('GET', '/v1/endpoints', (call) =>
      this.sendReadResult<EndpointStatus[]>(call, 'endpoints.list'),
    );
    router.add('GET', '/v1/audit', (call) => this.sendAuditEntries(call));
    router.add('GET', '/v1/evacuations', (call) => this.listEvacuations(call));
    router.add(
      'POST',
      '/v1/evacuations/{name}',
      (call) => this.changeEvacuation(call, 'evacuations.begin'),
      { dropsAbandoned: true },
    );
    router.add(
      'DELETE',
      '/v1/evacuations/{name}',
      (call) => this.changeEvacuation(call, 'evacuations.end'),
      { dropsAbandoned: true },
    );
    router.add('POST', '/v1/instances/{id}/drain', (call) => this.drainInstance(call));
    router.add('POST', '/v1/replicas/{id}/remove', (call) => this.removeReplica(call));
  }

  private async applyNote({ req, res, query }: RoutedCall): Promise<void> {
    const key = this.opts.authenticator.requireRole(req, ['operator']);
    const body = await readBody(req, MAX_CONTROL_BODY_BYTES);
    await admitContents(req, body);
    const text = body.toString('utf8');
    const params: ApplyNoteParams = { text, by: key.id, checkOnly: query.get('check') === 'true' };
    sendJson(res, 200, await this.call<ApplyNoteResult>('notes.apply', params));
  }

  private async showNoteRollout({ req, res, params }: RoutedCall): Promise<void> {
    this.opts.authenticator.requireRole(req, ['operator']);
    const number = readInteger(params.number!, 'number');
    sendJson(res, 200, await this.call<NoteStatusResult>('notes.force', { number }));
  }

  private async sendAuditEntries({ req, res, query }: RoutedCall): Promise<void> {
    this.opts.authenticator.requireRole(req, ['operator']);
    const after = readInteger(query.get('after') ?? '0', 'after');
    sendJson(res, 200, { entries: await this.call('audit.read', { after }) });
  }

  private async listEvacuations({ req, res }: RoutedCall): Promise<void> {
    this.opts.authenticator.requireRole(req, ['operator']);
    const { records } = await this.call<EvacuationSnapshot>('evacuations.read', {});
    const evacuations = records
      .filter(({ isEvacuated }) => isEvacuated)
      .map(({ dataCentre, acceptedMs }) => ({
        dataCentre,
        since: new Date(acceptedMs).toISOString(),
      }));
    sendJson(res, 200, { evacuations });
  }

  /** Responds when the change is committed; a repetition gets the same response. */
  private async changeEvacuation({ req, res, params }: RoutedCall, method: string): Promise<void> {
    const key = this.opts.authenticator.requireRole(req, ['operator']);
    const dataCentre = params.name!;
    if (!isDataCentreName(dataCentre)) {
      refuse('invalid-input', 'data centre: expected up to 256 characters');
    }
    const { version } = await this.call<EvacuationSnapshot>('evacuations.read', {});
    const change: EvacuationParams = { dataCentre, version, by: key.id };
    const { type } = await this.call<{ type: EvacuationResult }>(method, change);
    if (type === 'accepted') {
      sendJson(res, 200, { dataCentre, isEvacuated: method === 'evacuations.begin' });
      return;
    }
    throw new RefusalError({
      type: 'conflict',
      // An earlier try of the same call may have been overtaken after its effect.
      runState: type === 'full' ? 'not-run' : 'unknown',
      message:
        type === 'full'
          ? 'too many data centres are evacuated'
          : `another call has changed the evacuation of ${dataCentre} meanwhile`,
    });
  }

  private async drainInstance({ req, res, params }: RoutedCall): Promise<void> {
    this.opts.authenticator.requireRole(req, ['operator']);
    const instance = params.id!;
    if (!this.opts.instances.includes(instance)) {
      refuse('not-found', `there is no instance ${instance}`);
    }
    await this.opts.drain(instance);
    sendJson(res, 202, { instance, state: 'draining' });
  }

  private async removeReplica({ req, res, params }: RoutedCall): Promise<void> {
    this.opts.authenticator.requireRole(req, ['operator']);
    const removal: RemoveReplicaParams = { instance: params.id! };
    sendJson(res, 200, await this.call<RemoveReplicaResult>('replicas.remove', removal));
  }

  private async sendReadResult<Result>({ req, res }: RoutedCall, method: string): Promise<void> {
    this.opts.authenticator.requireRole(req, ['operator']);
    sendJson(res, 200, await this.call<Result>(method, {}));
  }

  private call<Result>(method: string, params: unknown): Promise<Result> {
    return this.opts.leader.call<Result>(method, params, { deadlineMs: CALL_DEADLINE_MS });
  }
}
