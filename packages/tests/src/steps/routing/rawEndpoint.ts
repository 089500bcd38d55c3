import { createServer, type Server, type Socket } from 'node:net';

/** Handles a request that has arrived on a connection. */
export type RawReaction = (request: RawRequest) => void;

/** Received request with its connection. */
export interface RawRequest {
  socket: Socket;
  head: string;
  attempt: string;
  /** Number of requests on this connection so far, including this one. */
  countOnConnection: number;
}

/** Endpoint that writes raw bytes to its sockets, so that it can violate the protocol. */
export class RawEndpoint implements AsyncDisposable {
  readonly sockets = new Set<Socket>();
  receivedBytes = 0;
  connectionCount = 0;
  /** Attempt state that probes get in response; with undefined, probes get no response. */
  presence: string | undefined = 'absent';
  private readonly server: Server;

  constructor(private readonly react: RawReaction) {
    this.server = createServer((socket) => this.accept(socket));
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as { port: number }).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private accept(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    let countOnConnection = 0;
    // Scenarios include connection resets by the client.
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (data) => {
      this.receivedBytes += data.length;
      const head = data.toString('latin1');
      if (!/^(GET|POST) /.test(head)) return;
      countOnConnection += 1;
      const attempt = /lagoongap-attempt: (\S+)/.exec(head)?.[1] ?? '';
      if (head.startsWith('GET /attempts/')) this.respondToProbe(socket);
      else this.react({ socket, head, attempt, countOnConnection });
    });
  }

  private respondToProbe(socket: Socket): void {
    if (this.presence === undefined) return;
    const body = JSON.stringify({ state: this.presence });
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  }
}
