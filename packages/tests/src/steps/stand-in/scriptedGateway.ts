import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import type { EndpointHeartbeat, HeartbeatResponse } from '@lagoongap/model/endpoint.js';

/** A call received from an endpoint. */
export interface GatewayCall {
  path: string;
  authorization: string | undefined;
  body: any;
  atMs: number;
}

/** Returns the response to a heartbeat. */
export type HeartbeatScript = (beat: EndpointHeartbeat) => {
  status?: number;
  delayMs?: number;
  /** Replaces the response body. */
  text?: string;
  change?: Partial<HeartbeatResponse>;
};

/** Gateway whose responses to heartbeats are scripted. */
export class ScriptedGateway implements AsyncDisposable {
  readonly calls: GatewayCall[] = [];
  /** Arrival time of the last heartbeat that got a valid response. */
  lastSuccessMs = 0;
  script: HeartbeatScript = () => ({});
  private readonly server: Server;
  private sessions = 0;

  constructor(
    readonly leaseMs: number,
    readonly heartbeatMs: number,
  ) {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as { port: number }).port}`;
  }

  get session(): string {
    return `session-${this.sessions}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Returns the heartbeats received so far. */
  listHeartbeats(): EndpointHeartbeat[] {
    return this.calls.filter(({ path }) => path.endsWith('/heartbeat')).map(({ body }) => body);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve);
      this.server.closeAllConnections();
    });
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const atMs = performance.now();
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const path = req.url ?? '';
    this.calls.push({ path, authorization: req.headers.authorization, body, atMs });
    const { leaseMs, heartbeatMs } = this;
    if (path === '/v1/endpoints') {
      this.sessions += 1;
      res.writeHead(201).end(JSON.stringify({ session: this.session, leaseMs, heartbeatMs }));
    } else if (path.endsWith('/heartbeat')) await this.respondToHeartbeat(body, res, atMs);
    else res.writeHead(200).end('{}');
  }

  private async respondToHeartbeat(
    heartbeat: EndpointHeartbeat,
    res: ServerResponse,
    atMs: number,
  ): Promise<void> {
    const { status = 200, delayMs = 0, text, change } = this.script(heartbeat);
    if (delayMs > 0) await delay(delayMs);
    if (status === 200 && text === undefined)
      this.lastSuccessMs = Math.max(this.lastSuccessMs, atMs);
    const acknowledged = heartbeat.finished.map(({ attempt }) => attempt);
    const response = { leaseMs: this.leaseMs, acknowledged, actions: [], ...change };
    res.writeHead(status).end(text ?? JSON.stringify(response));
  }
}
