import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { RelayedConnection, type RelayDirection } from './relayedConnection.js';

/** Host and port of a relay or of its target. */
export interface RelayAddress {
  host: string;
  port: number;
}

/** What a pause covers: only connections that are open now, or also later ones. */
export type RelayPauseScope = 'open' | 'all';

const LOOPBACK = '127.0.0.1';

/**
 * TCP relay on the loopback address that can stop forwarding without closing a connection, as a
 * silent network does. Connections that are made during a pause of scope `all` hang from the start.
 */
export class SilentRelay implements AsyncDisposable {
  /** Where new connections are forwarded to; they are refused while it is undefined. */
  target: RelayAddress | undefined;

  private readonly server: Server;
  private readonly connections = new Set<RelayedConnection>();
  private pausedForNew: RelayDirection[] = [];

  constructor(target?: RelayAddress) {
    this.target = target;
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on a free port, or on `port`, and returns the address. */
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

  /** Stops forwarding, in one direction or in both; nothing is closed. */
  pause(direction: RelayDirection | 'both' = 'both', scope: RelayPauseScope = 'all'): void {
    const directions: RelayDirection[] =
      direction === 'both' ? ['to-target', 'from-target'] : [direction];
    for (const connection of this.connections) {
      directions.forEach((item) => connection.pause(item));
    }
    if (scope === 'all') this.pausedForNew = directions;
  }

  /** Forwards again, beginning with what was held back. */
  resume(): void {
    this.pausedForNew = [];
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
    this.pausedForNew.forEach((direction) => connection.pause(direction));
  }
}
