import { connect, type Socket } from 'node:net';

/** Direction of bytes through a relay, seen from the side that dialled it. */
export type RelayDirection = 'to-target' | 'from-target';

/** Both sides of one connection through a relay, and a gate for each direction. */
export class RelayedConnection {
  private readonly dialler: Socket;
  private readonly target: Socket;
  private readonly closedGates = new Set<RelayDirection>();
  private readonly closedSides = new Set<Socket>();
  private readonly onClose: () => void;

  constructor(dialler: Socket, target: { host: string; port: number }, onClose: () => void) {
    this.dialler = dialler;
    this.target = connect(target);
    this.onClose = onClose;
    this.forward(this.dialler, this.target, 'to-target');
    this.forward(this.target, this.dialler, 'from-target');
  }

  /** Stops forwarding in a direction; neither side is told. */
  pause(direction: RelayDirection): void {
    this.closedGates.add(direction);
    this.sourceOf(direction).pause();
  }

  /** Forwards again in both directions, beginning with what was held back. */
  resume(): void {
    this.closedGates.clear();
    this.dialler.resume();
    this.target.resume();
    if (this.closedSides.size > 0) this.reset();
  }

  /** Resets both sides. */
  reset(): void {
    this.dialler.resetAndDestroy();
    this.target.resetAndDestroy();
  }

  private sourceOf(direction: RelayDirection): Socket {
    return direction === 'to-target' ? this.dialler : this.target;
  }

  private forward(source: Socket, sink: Socket, direction: RelayDirection): void {
    source.setNoDelay(true);
    source.on('data', (chunk) => {
      if (!sink.write(chunk)) source.pause();
    });
    sink.on('drain', () => {
      if (!this.closedGates.has(direction)) source.resume();
    });
    source.on('error', () => undefined);
    source.on('end', () => {
      if (!this.closedGates.has(direction)) sink.end();
    });
    source.on('close', () => this.handleClose(source, sink));
  }

  private handleClose(source: Socket, sink: Socket): void {
    this.closedSides.add(source);
    if (this.closedSides.size === 2) this.onClose();
    // While a direction is paused, the other side must not learn of the close.
    else if (this.closedGates.size === 0) sink.destroySoon();
  }
}
