import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer, type ServerOptions as TlsOptions } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { SecureContextOptions } from 'node:tls';

import type { Log } from '@lagoongap/model/log.js';
import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';

import { hasClientLeft } from './clientPresence.js';
import { discardBody } from './discardBody.js';
import { GatewayError } from './gatewayError.js';
import { sendJson, sendRefusal, toRefusal } from './httpResponse.js';
import type { HttpRouter } from './httpRouter.js';
import { LimitReporter, type ClientLimit } from './limitReporter.js';
import { ListenerGuard } from './listenerGuard.js';
import {
  DEFAULT_LISTENER_LIMITS,
  DEFAULT_REQUEST_BYTES,
  type ListenerLimits,
} from './listenerLimits.js';
import { findReservation, RequestBudget } from './requestBudget.js';

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  host: string;
  port: number;
  router: HttpRouter;
  log: Log;
  /** TLS options, absent for plain HTTP. Certificates can be set later by `replaceCertificates`. */
  tls?: TlsOptions;
  onRefused?: (refusal: Refusal) => void;
  limits?: ListenerLimits;
  /** Maximum bytes of all requests in progress. */
  maxRequestBytes?: number;
  /** Counts what the limits refuse or close. */
  onLimit?: (listener: string, limit: ClientLimit) => void;
}

const LISTENER_NAME = 'http';
const CLOSE_CHECK_INTERVAL_MS = 20;

/** HTTP server of one instance, with graceful shutdown. */
export class GatewayServer implements AsyncDisposable {
  private readonly opts: GatewayServerOptions;
  private readonly server: Server;
  private readonly guard: ListenerGuard;
  private isClosing = false;

  constructor(opts: GatewayServerOptions) {
    this.opts = opts;
    const { log, onLimit, tls, limits = DEFAULT_LISTENER_LIMITS } = opts;
    const reporter = new LimitReporter({ listener: LISTENER_NAME, log, onLimit });
    this.guard = new ListenerGuard({
      limits,
      budget: new RequestBudget(opts.maxRequestBytes ?? DEFAULT_REQUEST_BYTES, reporter),
      reporter,
      handle: (req, res) => this.handle(req, res),
      refuse: (res, { refusal }) => {
        opts.onRefused?.(refusal);
        sendRefusal(res, refusal);
      },
    });
    const { listener, serverOptions } = this.guard;
    this.server = tls
      ? createTlsServer({ ...tls, ...serverOptions }, listener)
      : createServer(serverOptions, listener);
    this.guard.attach(this.server, tls ? 'secureConnection' : 'connection');
  }

  /** Port on which the server listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of calls in progress. */
  get activeCalls(): number {
    return this.guard.activeRequests;
  }

  async listen(): Promise<void> {
    const { host, port } = this.opts;
    await new Promise<void>((resolve, reject) => {
      const fail = (err: Error): void => {
        reject(new GatewayError(`could not listen on ${host}:${port}`, { cause: err }));
      };
      this.server.once('error', fail);
      this.server.listen(port, host, () => {
        this.server.off('error', fail);
        this.server.on('error', (err: Error) => {
          this.opts.log.warn('failed to accept a connection', { err: err.message });
        });
        resolve();
      });
    });
  }

  /** Stops accepting connections and waits up to `timeoutMs` for the calls in progress. */
  async close(timeoutMs: number): Promise<void> {
    if (this.isClosing) return;
    this.isClosing = true;
    this.server.close();
    this.guard[Symbol.dispose]();
    const endMs = performance.now() + timeoutMs;
    while (this.activeCalls > 0 && performance.now() < endMs) {
      this.server.closeIdleConnections();
      await new Promise((resolve) => {
        setTimeout(resolve, CLOSE_CHECK_INTERVAL_MS);
      });
    }
    if (this.activeCalls > 0) {
      this.opts.log.warn('shutdown timed out; closing connections with calls in progress', {
        calls: this.activeCalls,
      });
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
    if (this.isClosing) res.setHeader('connection', 'close');
    this.dispatch(req, res).catch(async (reason: unknown) => {
      const err = toError(reason);
      const refusal = toRefusal(err, 'unknown');
      if (refusal.type === 'internal') {
        this.opts.log.error('call failed with an unexpected error', {
          path: req.url,
          err: err.stack,
        });
      }
      this.opts.onRefused?.(refusal);
      // A request that is refused for its memory must release the connection as well.
      if (refusal.type !== 'overloaded') await discardBody(req);
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
        // A secret in the URL is redacted when the refusal is sent.
        message: `unknown path: ${req.url?.split('?')[0]}`,
      });
      return;
    }
    if (match.status === 'no-method') {
      res.setHeader('allow', match.allowed.join(', '));
      const message = `${req.method} is not allowed; use ${match.allowed.join(' or ')}`;
      sendJson(res, 405, { error: { type: 'invalid-input', runState: 'not-run', message } });
      return;
    }
    if (match.opts.dropsAbandoned && (await hasClientLeft(req))) {
      this.opts.log.info('client left before its request was handled', { path: req.url });
      res.destroy();
      return;
    }
    try {
      await match.handler({ req, res, params: match.params, query: match.query });
    } finally {
      findReservation(req)?.releaseCost();
    }
  }
}
