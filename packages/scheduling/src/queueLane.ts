import type { WaitingShape } from './waitingShape.js';

/** Waiting work of one team in one priority class, oldest shape first. */
export class QueueLane {
  private shapes: WaitingShape[] = [];
  private isSorted = true;
  private cursor = 0;
  /** Freed version of the catalog at which nothing in the lane could be placed; -1 if not known. */
  examinedVersion = -1;

  constructor(
    readonly team: string,
    readonly priority: number,
  ) {}

  get isEmpty(): boolean {
    this.sort();
    return this.shapes.length === 0;
  }

  /** Adds a shape to the lane. */
  add(shape: WaitingShape): void {
    shape.isListed = true;
    this.shapes.push(shape);
    this.isSorted = false;
  }

  /** Has the order restored before the next look, after first units have changed. */
  markUnsorted(): void {
    this.isSorted = false;
    this.examinedVersion = -1;
  }

  /** Moves a shape to its place after its first unit was taken. */
  advance(shape: WaitingShape): void {
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
   * Returns the shapes to look at, oldest first: half of the look-ahead goes to the
   * oldest ones, the rest moves on through the others, so that each is reached in the end.
   */
  listAhead(lookAhead: number): WaitingShape[] {
    this.sort();
    const { shapes } = this;
    if (shapes.length <= lookAhead) return [...shapes];
    const fixed = Math.ceil(lookAhead / 2);
    const ahead = shapes.slice(0, fixed);
    for (let i = 0; i < lookAhead - fixed; i++) {
      ahead.push(shapes[fixed + ((this.cursor + i) % (shapes.length - fixed))]!);
    }
    return ahead;
  }

  /** Moves the changing part of the look-ahead on; false if the whole lane is seen at once. */
  rotate(lookAhead: number): boolean {
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
