import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';

/** HTTP call that the stub has received. */
export interface ReceivedCall {
  route: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** Response to a call; `drop` closes the connection without a response, `cut` amid the body. */
export interface StubResponse {
  status?: number;
  body?: string;
  fault?: 'drop' | 'cut';
}

/** HTTP server that sends the configured responses of each route in order and repeats the last. */
export class StubGateway implements AsyncDisposable {
  readonly calls: ReceivedCall[] = [];
  private readonly responsesByRoute = new Map<string, StubResponse[]>();
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

  /** Sets the responses to a route such as `GET /v1/status`, in the order of sending. */
  setResponses(route: string, responses: StubResponse[]): void {
    this.responsesByRoute.set(route, responses);
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
    const responses = this.responsesByRoute.get(route) ?? [{ status: 404, body: '' }];
    const response = responses.length > 1 ? responses.shift()! : responses[0]!;
    if (response.fault === 'drop') {
      res.destroy();
      return;
    }
    res.writeHead(response.status ?? 200, { 'content-type': 'application/json' });
    if (response.fault === 'cut') {
      res.write('{"id":');
      setTimeout(() => res.destroy(), 5);
      return;
    }
    res.end(response.body);
  }
}
