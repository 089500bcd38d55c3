import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import type { StartOrder } from '@lagoongap/model/endpoint.js';

import { Announcer } from './announcer.js';
import { executeRequest } from './executeRequest.js';
import { AttemptTable } from './attemptTable.js';
import { isAction } from './gatewayResponses.js';
import { DEFAULT_BEHAVIOUR, type StandInBehaviour, type StandInOptions } from './standInOptions.js';

/** Interval at which {@link StandInEndpoint.leave} checks whether all work has finished. */
const DRAIN_POLL_INTERVAL_MS = 50;

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/**
 * Minimal endpoint for tests and demos. It announces itself, renews its lease by heartbeats, runs
 * tasks that only wait, and echoes requests.
 */
export class StandInEndpoint implements AsyncDisposable {
  /** Simulated faults; may be changed while the endpoint runs. */
  readonly behaviour: StandInBehaviour;
  /** Base URL; empty until the endpoint has started. */
  url = '';
  private readonly attempts: AttemptTable;
  private readonly server: Server;
  private announcer: Announcer | undefined;

  constructor(private readonly opts: StandInOptions) {
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...opts.behaviour };
    this.attempts = new AttemptTable(
      opts.announcement.id,
      this.behaviour,
      opts.onHistory ?? (() => {}),
    );
    this.server = createServer((req, res) => {
      // The peer has closed the connection, so no response is needed.
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** Number of running attempts. */
  get runningCount(): number {
    return this.attempts.runningCount;
  }

  /** Error of the last failed call to a gateway. */
  get lastError(): Error | undefined {
    return this.announcer?.lastError;
  }

  /**
   * Starts the server and announces the endpoint until a gateway accepts it. Without gateways, the
   * endpoint is not announced and its lease never expires.
   */
  async start(): Promise<void> {
    const { host = '127.0.0.1', port = 0, gateways, key, announcement } = this.opts;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.url = `http://${host}:${(this.server.address() as AddressInfo).port}`;
    if (gateways.length === 0) {
      this.attempts.extendLease(Infinity);
      return;
    }
    this.announcer = new Announcer(
      { gateways, key },
      { ...announcement, url: this.url },
      this.attempts,
    );
    await this.announcer.start();
  }

  /** Leaves the cell; resolves when all work is finished and acknowledged, or after `maxMs`. */
  async leave(maxMs = 30_000): Promise<void> {
    const endsAtMs = performance.now() + maxMs;
    await this.announcer?.leave(maxMs);
    while (
      performance.now() < endsAtMs &&
      (this.attempts.runningCount > 0 || this.attempts.hasUnacknowledged)
    ) {
      await delay(DRAIN_POLL_INTERVAL_MS);
    }
  }

  /** Stops immediately without notifying the gateways. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.announcer?.stop();
    this.attempts.dispose();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { pathname } = new URL(req.url ?? '/', 'http://endpoint');
    const [, first, second, third] = pathname.split('/').map(decodeURIComponent);
    const route = `${req.method} ${first}`;
    if (route === 'POST requests') await this.handleRequest(req, res);
    else if (route === 'POST tasks' && second === undefined) await this.handleStartOrder(req, res);
    else if (route === 'POST tasks' && third === 'actions') {
      const { action } = JSON.parse((await readBody(req)).toString());
      if (!isAction(action)) sendJson(res, 400, { error: `unknown action ${action}` });
      else
        sendJson(res, this.attempts.applyAction(second!, action) ? 202 : 404, { attempt: second });
    } else if (route === 'GET attempts') {
      sendJson(res, 200, { attempt: second, state: this.attempts.getState(second!) });
    } else if (route === 'POST behaviour') {
      Object.assign(this.behaviour, JSON.parse((await readBody(req)).toString()));
      sendJson(res, 200, this.behaviour);
    } else sendJson(res, 404, { error: `no such path: ${pathname}` });
  }

  private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const attempt = String(req.headers['lagoongap-attempt'] ?? '');
    const token = Number(req.headers['lagoongap-token'] ?? 0);
    const body = await readBody(req);
    res.setHeader('lagoongap-attempt', attempt);
    await executeRequest({ attempt, token, body, res, behaviour: this.behaviour }, this.attempts);
  }

  private async handleStartOrder(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = JSON.parse((await readBody(req)).toString()) as StartOrder;
    if (this.behaviour.hangs) return;
    if (!this.attempts.hasLease() && !this.behaviour.startsWhateverItIsGiven) {
      sendJson(res, 503, { error: 'the lease of this endpoint has expired' });
    } else if (this.attempts.startTask(order)) sendJson(res, 201, { attempt: order.attempt });
    else sendJson(res, 409, { error: `token ${order.token} is not larger than the last one` });
  }
}
