import { EndpointConnection } from './endpointConnection.js';
import { ExchangeError } from './exchangeError.js';

/** Bounds of a {@link ConnectionPool}. */
export interface ConnectionBounds {
  /** Maximum number of connections to one endpoint. */
  maxPerEndpoint: number;
  /** Maximum number of connections in total. */
  maxTotal: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  maxIdleMs: number;
}

/** Options of {@link ConnectionPool.acquire}. */
export interface AcquireOptions {
  /** Whether the connection must not have been used before. */
  needsNewConnection: boolean;
  /** Whether the bounds do not apply; for probes, of which each exchange has at most one. */
  isProbe?: boolean;
  dialTimeoutMs: number;
}

/**
 * Pool of connections to endpoints. There is no queue: an exchange gets an exclusive connection
 * immediately or fails, so that no request is sent after an unexpected delay.
 */
export class ConnectionPool {
  private readonly idle = new Map<string, EndpointConnection[]>();
  private readonly busy = new Set<EndpointConnection>();
  private sweepTimer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly bounds: ConnectionBounds) {}

  /** Number of open connections, idle ones included. */
  get size(): number {
    return this.busy.size + this.idleCount();
  }

  /**
   * Returns a connection for one exchange.
   *
   * @throws {ExchangeError} with run state `not-run` if no connection is available.
   */
  acquire(
    origin: string,
    { needsNewConnection, isProbe, dialTimeoutMs }: AcquireOptions,
  ): EndpointConnection {
    if (this.isClosed) throw new ExchangeError('closed', 'not-run', 'connection pool is closed');
    const reused = needsNewConnection ? undefined : this.popIdle(origin);
    if (reused === undefined && !isProbe) this.ensureCapacity(origin);
    const connection = reused ?? new EndpointConnection(origin, dialTimeoutMs);
    this.busy.add(connection);
    return connection;
  }

  /** Returns a connection to the pool; a connection that may be unusable is closed. */
  release(connection: EndpointConnection, isReusable: boolean): void {
    if (!this.busy.delete(connection)) return;
    if (!isReusable || this.isClosed || connection.isEnded) {
      connection.destroy();
      return;
    }
    connection.idleSinceMs = performance.now();
    const list = this.idle.get(connection.origin) ?? [];
    list.push(connection);
    this.idle.set(connection.origin, list);
    this.sweepTimer ??= setTimeout(() => this.sweep(), this.bounds.maxIdleMs);
  }

  /** Closes all connections; exchanges in progress fail. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.sweepTimer);
    for (const list of this.idle.values()) list.forEach((connection) => connection.destroy());
    for (const connection of this.busy) connection.destroy();
    this.idle.clear();
    this.busy.clear();
  }

  private popIdle(origin: string): EndpointConnection | undefined {
    const list = this.idle.get(origin) ?? [];
    while (list.length > 0) {
      const connection = list.pop()!;
      if (list.length === 0) this.idle.delete(origin);
      if (!connection.isEnded && !this.isStale(connection)) return connection;
      connection.destroy();
    }
    return undefined;
  }

  private ensureCapacity(origin: string): void {
    const busyToOrigin = [...this.busy].filter((connection) => connection.origin === origin).length;
    const idleToOrigin = this.idle.get(origin)?.length ?? 0;
    const { maxPerEndpoint, maxTotal } = this.bounds;
    if (busyToOrigin >= maxPerEndpoint || this.busy.size >= maxTotal) {
      const counts = `${busyToOrigin} to this endpoint, ${this.busy.size} in total`;
      const message = `no connection to ${origin} is free (${counts} in use)`;
      throw new ExchangeError('no-connection-free', 'not-run', message);
    }
    if (busyToOrigin + idleToOrigin >= maxPerEndpoint) this.closeIdle(origin);
    else if (this.size >= maxTotal) this.closeIdle(this.idle.keys().next().value!);
  }

  private closeIdle(origin: string): void {
    const list = this.idle.get(origin)!;
    list.shift()!.destroy();
    if (list.length === 0) this.idle.delete(origin);
  }

  private isStale(connection: EndpointConnection): boolean {
    return performance.now() - connection.idleSinceMs >= this.bounds.maxIdleMs;
  }

  private sweep(): void {
    this.sweepTimer = undefined;
    for (const [origin, list] of this.idle) {
      const kept = list.filter((connection) => !this.isStale(connection) && !connection.isEnded);
      list.filter((connection) => !kept.includes(connection)).forEach((c) => c.destroy());
      if (kept.length > 0) this.idle.set(origin, kept);
      else this.idle.delete(origin);
    }
    if (this.idle.size > 0) {
      this.sweepTimer = setTimeout(() => this.sweep(), this.bounds.maxIdleMs);
    }
  }

  private idleCount(): number {
    let count = 0;
    for (const list of this.idle.values()) count += list.length;
    return count;
  }
}
