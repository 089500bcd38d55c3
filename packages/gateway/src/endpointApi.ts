import type {
  AnnounceParams,
  AnnounceResult,
  HeartbeatParams,
  HeartbeatResult,
  LeaveParams,
} from '@lagoongap/model/messages.js';

import type { Authenticator } from './authenticator.js';
import { readJson } from './bodyReader.js';
import { sendJson } from './httpResponse.js';
import type { HttpRouter, RoutedCall } from './httpRouter.js';
import type { LeaderClient } from './leaderClient.js';
import { announcementSchema, heartbeatSchema, parseWith } from './schemas.js';
import type { ValidityPoller } from './validityPoller.js';

/** Options of {@link EndpointApi}. */
export interface EndpointApiOptions {
  authenticator: Authenticator;
  leader: LeaderClient;
  validity: ValidityPoller;
}

/** Longer than an election, so that a leader change loses no heartbeat. */
const CALL_DEADLINE_MS = 3000;

/** HTTP API for endpoints (workers and runners). */
export class EndpointApi {
  private readonly opts: EndpointApiOptions;

  constructor(opts: EndpointApiOptions) {
    this.opts = opts;
  }

  register(router: HttpRouter): void {
    router.add('POST', '/v1/endpoints', (call) => this.announce(call));
    router.add('POST', '/v1/endpoints/{id}/heartbeat', (call) => this.forwardHeartbeat(call));
    router.add('POST', '/v1/endpoints/{id}/leave', (call) => this.leave(call));
  }

  private async announce(call: RoutedCall): Promise<void> {
    this.authenticate(call);
    const announcement = parseWith(announcementSchema, await readJson(call.req));
    const params: AnnounceParams = { announcement };
    sendJson(call.res, 200, await this.call<AnnounceResult>('endpoints.announce', params));
  }

  private async forwardHeartbeat(call: RoutedCall): Promise<void> {
    this.authenticate(call);
    const heartbeat = parseWith(heartbeatSchema, await readJson(call.req));
    const params: HeartbeatParams = { id: call.params.id!, heartbeat };
    sendJson(call.res, 200, await this.call<HeartbeatResult>('endpoints.heartbeat', params));
  }

  private async leave(call: RoutedCall): Promise<void> {
    this.authenticate(call);
    const params: LeaveParams = { id: call.params.id! };
    await this.call('endpoints.leave', params);
    sendJson(call.res, 200, {});
  }

  private authenticate({ req }: RoutedCall): void {
    this.opts.validity.assertValid();
    this.opts.authenticator.requireRole(req, ['endpoint', 'operator']);
  }

  private call<Result>(method: string, params: unknown): Promise<Result> {
    return this.opts.leader.call<Result>(method, params, { deadlineMs: CALL_DEADLINE_MS });
  }
}
