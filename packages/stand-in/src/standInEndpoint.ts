import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import type { StartOrder } from '@lagoongap/model/endpoint.js';

import { Announcer } from './announcer.js';
import { answerRequest } from './answerRequest.js';
import { AttemptTable } from './attemptTable.js';
import { isAction } from './parseAnswer.js';
import { SOUND_BEHAVIOUR, type StandInBehaviour, type StandInOptions } from './standInOptions.js';

/** Interval at which {@link StandInEndpoint.leave} looks whether all work is done. */
const DRAIN_POLL_MS = 50;

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
 * Small endpoint for tests and demos. It announces itself, keeps its lease by heartbeats, runs
 * tasks that only wait, and answers requests by echoing them.
 */
export class StandInEndpoint implements AsyncDisposable {
  /** Faults and habits; may be changed while the endpoint runs. */
  readonly behaviour: StandInBehaviour;
  /** Base URL, once started. */
  url = '';
  private readonly attempts: AttemptTable;
  private readonly server: Server;
  private announcer: Announcer | undefined;

  constructor(private readonly opts: StandInOptions) {
    this.behaviour = { ...SOUND_BEHAVIOUR, ...opts.behaviour };
    this.attempts = new AttemptTable(
      opts.announcement.id,
      this.behaviour,
      opts.onHistory ?? (() => {}),
    );
    this.server = createServer((req, res) => {
      // A connection that the other side has closed needs no answer.
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** Number of attempts that run. */
  get runningCount(): number {
    return this.attempts.runningCount;
  }

  /** Last failure of a call to a gateway. */
  get lastError(): Error | undefined {
    return this.announcer?.lastError;
  }

  /** Listens, and announces the endpoint until a gateway accepts it; none if there are no gateways. */
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

  /** Leaves the system, and resolves when all work is done and acknowledged or after `maxMs`. */
  async leave(maxMs = 30_000): Promise<void> {
    const endsAtMs = performance.now() + maxMs;
    await this.announcer?.leave(maxMs);
    while (
      performance.now() < endsAtMs &&
      (this.attempts.runningCount > 0 || this.attempts.hasUnacknowledged)
    ) {
      await delay(DRAIN_POLL_MS);
    }
  }

  /** Stops at once without a word to the system. */
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
    if (route === 'POST requests') await this.serveRequest(req, res);
    else if (route === 'POST tasks' && second === undefined) await this.serveStart(req, res);
    else if (route === 'POST tasks' && third === 'actions') {
      const { action } = JSON.parse((await readBody(req)).toString());
      if (!isAction(action)) sendJson(res, 400, { error: `unknown action ${action}` });
      else sendJson(res, this.attempts.act(second!, action) ? 202 : 404, { attempt: second });
    } else if (route === 'GET attempts') {
      sendJson(res, 200, { attempt: second, state: this.attempts.find(second!) });
    } else if (route === 'POST behaviour') {
      Object.assign(this.behaviour, JSON.parse((await readBody(req)).toString()));
      sendJson(res, 200, this.behaviour);
    } else sendJson(res, 404, { error: `no such path: ${pathname}` });
  }

  private async serveRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const attempt = String(req.headers['lagoongap-attempt'] ?? '');
    const token = Number(req.headers['lagoongap-token'] ?? 0);
    const body = await readBody(req);
    res.setHeader('lagoongap-attempt', attempt);
    await answerRequest({ attempt, token, body, res, behaviour: this.behaviour }, this.attempts);
  }

  private async serveStart(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = JSON.parse((await readBody(req)).toString()) as StartOrder;
    if (this.behaviour.hangs) return;
    if (!this.attempts.hasLease() && !this.behaviour.startsWhateverItIsGiven) {
      sendJson(res, 503, { error: 'the lease of this endpoint has expired' });
    } else if (this.attempts.startTask(order)) sendJson(res, 201, { attempt: order.attempt });
    else sendJson(res, 409, { error: `token ${order.token} is not larger than the last one` });
  }
}
