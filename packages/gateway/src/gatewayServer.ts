import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer, type ServerOptions as TlsOptions } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { SecureContextOptions } from 'node:tls';

import type { Log } from '@lagoongap/model/log.js';
import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';

import { discardBody } from './discardBody.js';
import { GatewayError } from './gatewayError.js';
import { sendJson, sendRefusal, toRefusal } from './httpResponse.js';
import type { HttpRouter } from './httpRouter.js';

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  host: string;
  port: number;
  router: HttpRouter;
  log: Log;
  /** TLS options, absent for plain HTTP. Certificates can be set later by `replaceCertificates`. */
  tls?: TlsOptions;
  onRefused?: (refusal: Refusal) => void;
}

const HEADERS_TIMEOUT_MS = 15_000;
/** Longer than a load balancer's idle timeout, so that the balancer closes idle connections. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const CLOSE_CHECK_INTERVAL_MS = 20;

/** HTTP server of one instance, with graceful shutdown. */
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
    // Each request has its own deadline; a fixed timeout would cut off large bodies.
    this.server.requestTimeout = 0;
  }

  /** Port on which the server listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of calls in progress. */
  get activeCalls(): number {
    return this.active;
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
    const endMs = performance.now() + timeoutMs;
    while (this.active > 0 && performance.now() < endMs) {
      this.server.closeIdleConnections();
      await new Promise((resolve) => {
        setTimeout(resolve, CLOSE_CHECK_INTERVAL_MS);
      });
    }
    if (this.active > 0) {
      this.opts.log.warn('shutdown timed out; closing connections with calls in progress', {
        calls: this.active,
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
        this.opts.log.error('call failed with an unexpected error', {
          path: req.url,
          err: err.stack,
        });
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
    await match.handler({ req, res, params: match.params, query: match.query });
  }
}
