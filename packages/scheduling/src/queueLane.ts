import type { WaitingShape } from './waitingShape.js';

/** Waiting shapes of one team in one priority class, oldest first. */
export class QueueLane {
  private shapes: WaitingShape[] = [];
  private isSorted = true;
  private cursor = 0;
  /** Freed version of the catalog at which no shape of the lane fitted; -1 if unknown. */
  blockedVersion = -1;

  constructor(
    readonly team: string,
    readonly priority: number,
  ) {}

  get isEmpty(): boolean {
    this.sort();
    return this.shapes.length === 0;
  }

  add(shape: WaitingShape): void {
    shape.isListed = true;
    this.shapes.push(shape);
    this.isSorted = false;
  }

  /** Marks the lane for sorting before its next use, after first units have changed. */
  markUnsorted(): void {
    this.isSorted = false;
    this.blockedVersion = -1;
  }

  /** Restores the order by arrival after the first unit of a shape has left it. */
  reposition(shape: WaitingShape): void {
    if (!this.isSorted) return;
    const { shapes } = this;
    let index = shapes.indexOf(shape);
    if (index < 0) return;
    const { arrivedAtMs } = shape;
    while (index + 1 < shapes.length && shapes[index + 1]!.arrivedAtMs < arrivedAtMs) {
      shapes[index] = shapes[index + 1]!;
      index += 1;
    }
    shapes[index] = shape;
    if (shape.size === 0) {
      shape.isListed = false;
      shapes.splice(index, 1);
    }
  }

  /**
   * Returns the shapes to try in this scheduling cycle. Half of the look-ahead is used for the
   * oldest shapes; the rest is a window that moves through the others, so that none starves.
   */
  listCandidates(lookAhead: number): WaitingShape[] {
    this.sort();
    const { shapes } = this;
    if (shapes.length <= lookAhead) return [...shapes];
    const fixed = Math.ceil(lookAhead / 2);
    const candidates = shapes.slice(0, fixed);
    for (let i = 0; i < lookAhead - fixed; i++) {
      candidates.push(shapes[fixed + ((this.cursor + i) % (shapes.length - fixed))]!);
    }
    return candidates;
  }

  /** Advances the window of {@link listCandidates}; false if the look-ahead covers the lane. */
  advanceWindow(lookAhead: number): boolean {
    if (this.shapes.length <= lookAhead) return false;
    this.cursor = (this.cursor + Math.floor(lookAhead / 2)) % this.shapes.length;
    return true;
  }

  private sort(): void {
    if (this.isSorted) return;
    this.isSorted = true;
    const { shapes } = this;
    this.shapes = shapes.filter((shape) => shape.size > 0);
    if (this.shapes.length < shapes.length) {
      for (const shape of shapes) shape.isListed = shape.size > 0;
    }
    this.shapes.sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
  }
}
