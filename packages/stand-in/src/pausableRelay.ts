import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { RelayedConnection, type RelayDirection } from './relayedConnection.js';

/** Host and port of a relay or of its target. */
export interface RelayAddress {
  host: string;
  port: number;
}

/** Scope of a pause: only the open connections, or also new ones. */
export type RelayPauseScope = 'open' | 'all';

const LOOPBACK = '127.0.0.1';

/**
 * TCP relay on the loopback address that can stop forwarding without closing connections, as a
 * network partition does. Connections opened during a pause of scope `all` hang from the start.
 */
export class PausableRelay implements AsyncDisposable {
  /** Target of new connections; they are reset while it is undefined. */
  target: RelayAddress | undefined;

  private readonly server: Server;
  private readonly connections = new Set<RelayedConnection>();
  private newConnectionPauses: RelayDirection[] = [];

  constructor(target?: RelayAddress) {
    this.target = target;
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on `port`, or on a free port if it is 0, and returns the address. */
  async start(port = 0): Promise<RelayAddress> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, resolve);
    });
    return this.address;
  }

  get address(): RelayAddress {
    return { host: LOOPBACK, port: (this.server.address() as AddressInfo).port };
  }

  /** Number of connections with at least one side open. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Stops forwarding in one or both directions without closing connections. */
  pause(direction: RelayDirection | 'both' = 'both', scope: RelayPauseScope = 'all'): void {
    const directions: RelayDirection[] =
      direction === 'both' ? ['to-target', 'from-target'] : [direction];
    for (const connection of this.connections) {
      directions.forEach((item) => connection.pause(item));
    }
    if (scope === 'all') this.newConnectionPauses = directions;
  }

  /** Resumes forwarding, starting with the buffered data. */
  resume(): void {
    this.newConnectionPauses = [];
    for (const connection of this.connections) connection.resume();
  }

  /** Resets all open connections. */
  dropConnections(): void {
    for (const connection of this.connections) connection.reset();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.dropConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(socket: Socket): void {
    if (!this.target) {
      socket.resetAndDestroy();
      return;
    }
    const connection = new RelayedConnection(socket, this.target, () => {
      this.connections.delete(connection);
    });
    this.connections.add(connection);
    this.newConnectionPauses.forEach((direction) => connection.pause(direction));
  }
}
