import type { Socket } from 'node:net';

import { buildConnector, Client } from 'undici';

/** One connection to an endpoint; carries one exchange at a time. */
export class EndpointConnection {
  readonly client: Client;
  /** Monotonic time at which the last exchange ended. */
  idleSinceMs = 0;
  private socket: Socket | undefined;
  private wasClosed = false;

  constructor(
    readonly origin: string,
    dialTimeoutMs: number,
  ) {
    const connect = buildConnector({ timeout: dialTimeoutMs });
    this.client = new Client(origin, {
      pipelining: 1,
      // Exchanges have their own bound on silence and their own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (opts, callback) => {
        connect(opts, (...result) => {
          const [err, socket] = result;
          if (err === null) {
            this.trackSocket(socket);
          }
          callback(...result);
        });
      },
    });
  }

  /** Whether the other side has ended the connection or it has broken. */
  get isEnded(): boolean {
    return this.wasClosed || this.socket?.readableEnded === true || this.socket?.errored != null;
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.wasClosed = true;
    // The exchange has reported its own failure already.
    this.client.destroy().catch(() => {});
  }

  private trackSocket(socket: Socket): void {
    this.socket = socket;
    this.wasClosed = false;
    socket.once('close', () => {
      if (this.socket === socket) this.wasClosed = true;
    });
  }
}
