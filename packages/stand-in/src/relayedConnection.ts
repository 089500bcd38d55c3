import { connect, type Socket } from 'node:net';

/** Direction of data through a relay, as seen by the client that connected to it. */
export type RelayDirection = 'to-target' | 'from-target';

/** One connection through a relay; each direction can be paused separately. */
export class RelayedConnection {
  private readonly client: Socket;
  private readonly target: Socket;
  private readonly pausedDirections = new Set<RelayDirection>();
  private readonly closedSockets = new Set<Socket>();
  private readonly onClose: () => void;

  constructor(client: Socket, target: { host: string; port: number }, onClose: () => void) {
    this.client = client;
    this.target = connect(target);
    this.onClose = onClose;
    this.forward(this.client, this.target, 'to-target');
    this.forward(this.target, this.client, 'from-target');
  }

  /** Stops forwarding in a direction without closing either socket. */
  pause(direction: RelayDirection): void {
    this.pausedDirections.add(direction);
    this.getSource(direction).pause();
  }

  /** Resumes forwarding in both directions, starting with the buffered data. */
  resume(): void {
    this.pausedDirections.clear();
    this.client.resume();
    this.target.resume();
    if (this.closedSockets.size > 0) this.reset();
  }

  /** Resets both sockets. */
  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
  }

  private getSource(direction: RelayDirection): Socket {
    return direction === 'to-target' ? this.client : this.target;
  }

  private forward(source: Socket, destination: Socket, direction: RelayDirection): void {
    source.setNoDelay(true);
    source.on('data', (chunk) => {
      if (!destination.write(chunk)) source.pause();
    });
    destination.on('drain', () => {
      if (!this.pausedDirections.has(direction)) source.resume();
    });
    source.on('error', () => undefined);
    source.on('end', () => {
      if (!this.pausedDirections.has(direction)) destination.end();
    });
    source.on('close', () => this.handleClose(source, destination));
  }

  private handleClose(source: Socket, destination: Socket): void {
    this.closedSockets.add(source);
    if (this.closedSockets.size === 2) this.onClose();
    // While a direction is paused, the close must not propagate to the other socket.
    else if (this.pausedDirections.size === 0) destination.destroySoon();
  }
}
