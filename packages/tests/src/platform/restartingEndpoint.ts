import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { json } from 'node:stream/consumers';
import type { AddressInfo } from 'node:net';

/** A request that an incarnation has received. */
export interface ReceivedOrder {
  bornMs: number;
  path: string;
  body: { ack_seq?: number; until_ms?: number };
}

/** Endpoint over HTTP that can start again at its address; its connections end with its process. */
export class RestartingEndpoint implements AsyncDisposable {
  readonly received: ReceivedOrder[] = [];
  bornMs = 1;
  /** Receives requests and does not respond. */
  isSilent = false;
  private readonly server = createServer((req, res) => {
    this.handle(req, res).catch(() => res.destroy());
  });

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends the process with all its connections and starts the next incarnation. */
  restart(): void {
    this.bornMs += 1;
    this.isSilent = false;
    this.server.closeAllConnections();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { bornMs } = this;
    const body = (await json(req)) as ReceivedOrder['body'];
    this.received.push({ bornMs, path: req.url!, body });
    if (this.isSilent) return;
    const inspection = { clock_ms: 1000, born: bornMs, active_runs: [], finished: [] };
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(inspection));
  }
}
