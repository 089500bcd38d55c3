import type { Socket } from 'node:net';

import { buildConnector, Client } from 'undici';

/** Connection to an endpoint; carries one exchange at a time. */
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
      // Exchanges have their own inactivity check and deadline.
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

  /** Whether the endpoint has closed the connection or it has failed. */
  get isEnded(): boolean {
    return this.wasClosed || this.socket?.readableEnded === true || this.socket?.errored != null;
  }

  /** Closes the connection immediately. */
  destroy(): void {
    this.wasClosed = true;
    // The exchange has already reported its own failure.
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
