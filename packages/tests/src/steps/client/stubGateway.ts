import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';

/** Call as received. */
export interface ReceivedCall {
  route: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** Answer to a call; `drop` closes the connection without an answer, `cut` amid one. */
export interface StubAnswer {
  status?: number;
  body?: string;
  fault?: 'drop' | 'cut';
}

/** HTTP server that answers each route with the answers that were set for it, the last one for good. */
export class StubGateway implements AsyncDisposable {
  readonly calls: ReceivedCall[] = [];
  private readonly answers = new Map<string, StubAnswer[]>();
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Sets the answers to a route such as `GET /v1/status`, given in this order. */
  answer(route: string, answers: StubAnswer[]): void {
    this.answers.set(route, answers);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const route = `${req.method} ${req.url!.replace(/waitMs=\d+/, 'waitMs=N')}`;
    const body = (await buffer(req)).toString('utf8');
    this.calls.push({ route, headers: req.headers, body });
    const answers = this.answers.get(route) ?? [{ status: 404, body: '' }];
    const answer = answers.length > 1 ? answers.shift()! : answers[0]!;
    if (answer.fault === 'drop') {
      res.destroy();
      return;
    }
    res.writeHead(answer.status ?? 200, { 'content-type': 'application/json' });
    if (answer.fault === 'cut') {
      res.write('{"id":');
      setTimeout(() => res.destroy(), 5);
      return;
    }
    res.end(answer.body);
  }
}
