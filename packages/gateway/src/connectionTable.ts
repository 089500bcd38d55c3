import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Connection of a client. */
export interface ClientConnection {
  socket: Socket;
  /** Requests that have not been answered completely, with a function that ends each of them. */
  pending: Map<ServerResponse, PendingRequest>;
  /** Whether the response in progress is the last one. */
  isLast: boolean;
  /** Bytes received when the last request was answered. */
  bytesAtRest: number;
  /** Bytes received at the last check. */
  bytesRead: number;
  /** Response bytes sent at the last check. */
  bytesSent: number;
  /** Response bytes that were not sent at the last check. */
  unreadBytes: number;
  /** Monotonic time of the last check that found progress. */
  progressMs: number;
  /** Monotonic time at which the beginning of a request was first seen. */
  headerSinceMs?: number;
}

/** Request of a connection that has not been answered completely. */
export interface PendingRequest {
  /** Whether its body is incomplete, and it is not this process that has stopped reading it. */
  isReceiving: () => boolean;
  end: () => void;
}

/** Time without progress after which an unfinished request yields its connection to a new client. */
const STALLED_MS = 1000;

/** Open connections of a listener, in the order in which they are closed in favour of new ones. */
export class ConnectionTable {
  private readonly connections = new Map<Socket, ClientConnection>();
  /** Connections without a request; the one that has been idle for the longest time comes first. */
  private readonly idle = new Set<ClientConnection>();
  /** Connections with a stalled request at the last check; the longest stalled one comes last. */
  private stalled: ClientConnection[] = [];

  get size(): number {
    return this.connections.size;
  }

  find(socket: Socket): ClientConnection | undefined {
    return this.connections.get(socket);
  }

  values(): IterableIterator<ClientConnection> {
    return this.connections.values();
  }

  add(socket: Socket): ClientConnection {
    const connection: ClientConnection = {
      socket,
      pending: new Map(),
      isLast: false,
      bytesAtRest: 0,
      bytesRead: 0,
      bytesSent: 0,
      unreadBytes: 0,
      progressMs: performance.now(),
    };
    this.connections.set(socket, connection);
    this.idle.add(connection);
    return connection;
  }

  remove(connection: ClientConnection): void {
    this.connections.delete(connection.socket);
    this.idle.delete(connection);
  }

  markBusy(connection: ClientConnection): void {
    this.idle.delete(connection);
  }

  markIdle(connection: ClientConnection): void {
    if (this.connections.has(connection.socket)) this.idle.add(connection);
  }

  /** Remembers which connections have a request that does not progress. */
  rankStalled(nowMs: number): void {
    this.stalled = [...this.connections.values()]
      .filter(({ pending, progressMs }) => {
        if (nowMs - progressMs < STALLED_MS || pending.size === 0) return false;
        return [...pending.values()].some(({ isReceiving }) => isReceiving());
      })
      .sort((a, b) => b.progressMs - a.progressMs);
  }

  /** Removes and returns the connection to be closed for a new one, or undefined. */
  takeVictim(): ClientConnection | undefined {
    const [idle] = this.idle;
    if (idle) {
      this.remove(idle);
      return idle;
    }
    let victim = this.stalled.pop();
    while (victim && !this.connections.has(victim.socket)) victim = this.stalled.pop();
    if (victim) this.remove(victim);
    return victim;
  }
}
