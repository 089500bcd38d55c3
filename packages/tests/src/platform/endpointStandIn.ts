import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createHeartbeat } from './documents.js';

const TASK_MS = 50;
const HEARTBEAT_MS = 300;
const OK = 200;
const CONFLICT = 409;

async function readJson(req: IncomingMessage): Promise<any> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Endpoint of the platform that runs every task for a moment; also answers as the advisor. */
export class EndpointStandIn implements AsyncDisposable {
  /** Start orders that were carried out. */
  readonly starts: { task: string; run: number; ticket?: string }[] = [];
  private readonly id: string;
  private readonly controls: () => string[];
  private readonly active = new Map<string, [string, number]>();
  private readonly server: Server;
  private readonly bornMs = Date.now();
  private ended: unknown[][] = [];
  private fence = 0;
  private nextReport = 1;
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  /** @param controls - Addresses to report to, in the order in which they are tried. */
  constructor(id: string, controls: () => string[]) {
    this.id = id;
    this.controls = controls;
    this.server = createServer((req, res) => {
      readJson(req)
        .then((body) => {
          const [status, answer] = this.answer(req.url ?? '', body);
          res.writeHead(status, { 'content-type': 'application/json' });
          res.end(JSON.stringify({ clock_ms: Math.floor(performance.now()), ...answer }));
        })
        .catch(() => res.destroy());
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.timer = setInterval(() => {
      this.beat().catch(() => undefined);
    }, HEARTBEAT_MS);
    await this.beat();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async beat(): Promise<void> {
    this.sequence += 1;
    const body = { ...createHeartbeat(this.address), born: this.bornMs, seq: this.sequence };
    for (const control of this.controls()) {
      const url = `http://${control}/-/instances/${this.id}`;
      const res = await fetch(url, { method: 'PUT', body: JSON.stringify(body) }).catch(() => null);
      if (res?.ok) return;
    }
  }

  private answer(path: string, body: any): [number, Record<string, unknown>] {
    if (path === '/-/advise') {
      const good = body.workers.map((id: string) => [id, `ticket-${body.step}`]);
      return [OK, { good, valid_ms: 2500 }];
    }
    if (body.fencing_token < this.fence) return [CONFLICT, { reason: 'fence' }];
    this.fence = body.fencing_token;
    if (path === '/-/run-start') this.run(body);
    if (path !== '/-/hold') return [OK, {}];
    this.ended = this.ended.filter(([number]) => (number as number) > body.ack_seq);
    const active = [...this.active.values()].map(([task, run]) => [task, run, '', 100, 0]);
    return [OK, { born: this.bornMs, active_runs: active, finished: this.ended }];
  }

  private run({ task, run, ticket }: { task: string; run: number; ticket?: string }): void {
    const key = `${task}:${run}`;
    if (this.active.has(key)) return;
    this.starts.push({ task, run, ticket });
    this.active.set(key, [task, run]);
    setTimeout(() => {
      this.active.delete(key);
      this.ended.push([this.nextReport, task, run, 'done', '']);
      this.nextReport += 1;
    }, TASK_MS);
  }
}
