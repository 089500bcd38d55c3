import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer, type ServerOptions as TlsOptions } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { SecureContextOptions } from 'node:tls';

import type { Log } from '@lagoongap/model/log.js';
import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';

import { discardBody } from './discardBody.js';
import { GatewayError } from './gatewayError.js';
import { sendJson, sendRefusal, toRefusal } from './httpReply.js';
import type { HttpRouter } from './httpRouter.js';

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  host: string;
  port: number;
  router: HttpRouter;
  log: Log;
  /** Options of TLS; key and certificates may follow by `replaceCertificates`. Plain HTTP without. */
  tls?: TlsOptions;
  onRefused?: (refusal: Refusal) => void;
}

const HEADERS_TIMEOUT_MS = 15_000;
/** Longer than a balancer keeps idle connections, so that it is the one to close them. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const CLOSE_CHECK_INTERVAL_MS = 20;

/** HTTP listener of one instance; stops without cutting off a request. */
export class GatewayServer implements AsyncDisposable {
  private readonly opts: GatewayServerOptions;
  private readonly server: Server;
  private isClosing = false;
  private active = 0;

  constructor(opts: GatewayServerOptions) {
    this.opts = opts;
    const listener = (req: IncomingMessage, res: ServerResponse): void => {
      this.handle(req, res);
    };
    this.server = opts.tls ? createTlsServer(opts.tls, listener) : createServer(listener);
    this.server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    // Deadlines belong to each request; large bodies may take longer than a fixed time.
    this.server.requestTimeout = 0;
  }

  /** Port that is listened on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of calls that have not been answered. */
  get activeCalls(): number {
    return this.active;
  }

  async listen(): Promise<void> {
    const { host, port } = this.opts;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (err) => {
        reject(new GatewayError(`could not listen on ${host}:${port}`, { cause: err }));
      });
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops to accept connections and waits for the calls that were accepted. */
  async close(timeoutMs: number): Promise<void> {
    if (this.isClosing) return;
    this.isClosing = true;
    this.server.close();
    const endMs = performance.now() + timeoutMs;
    while (this.active > 0 && performance.now() < endMs) {
      this.server.closeIdleConnections();
      await new Promise((resolve) => {
        setTimeout(resolve, CLOSE_CHECK_INTERVAL_MS);
      });
    }
    if (this.active > 0) {
      this.opts.log.warn('closing with unanswered calls', { calls: this.active });
    }
    this.server.closeIdleConnections();
    this.server.closeAllConnections();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.close(0);
  }

  /** Replaces key and certificates for new connections. */
  replaceCertificates(tls: SecureContextOptions): void {
    (
      this.server as Partial<{ setSecureContext(opts: SecureContextOptions): void }>
    ).setSecureContext?.(tls);
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    this.active += 1;
    res.on('close', () => {
      this.active -= 1;
    });
    res.on('error', () => {});
    if (this.isClosing) res.setHeader('connection', 'close');
    this.dispatch(req, res).catch(async (reason: unknown) => {
      const err = toError(reason);
      const refusal = toRefusal(err, 'unknown');
      if (refusal.type === 'internal') {
        this.opts.log.error('call failed', { path: req.url, err: err.stack });
      }
      this.opts.onRefused?.(refusal);
      await discardBody(req);
      if (!req.complete) res.setHeader('connection', 'close');
      sendRefusal(res, refusal);
    });
  }

  private async dispatch(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const match = this.opts.router.match(req.method ?? '', req.url ?? '/');
    if (match.status === 'no-path') {
      sendRefusal(res, {
        type: 'not-found',
        runState: 'not-run',
        // Secrets are redacted from every refusal, should one stand in the URL.
        message: `there is no such path: ${req.url?.split('?')[0]}`,
      });
      return;
    }
    if (match.status === 'no-method') {
      res.setHeader('allow', match.allowed.join(', '));
      const message = `${req.method} is not allowed here, use ${match.allowed.join(' or ')}`;
      sendJson(res, 405, { error: { type: 'invalid-input', runState: 'not-run', message } });
      return;
    }
    await match.handler({ req, res, params: match.params, query: match.query });
  }
}
