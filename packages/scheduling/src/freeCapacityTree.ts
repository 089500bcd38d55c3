import type { Resources } from '@lagoongap/model/resources.js';

const DIMENSIONS = 4;
const INITIAL_LEAVES = 8;

/**
 * Segment tree of the maximum free amount in each dimension over ranges of endpoints. A search
 * skips every range in which some dimension is too small, so that in the common case it finds
 * a fitting endpoint, or rules one out, without a full scan.
 */
export class FreeCapacityTree {
  private leaves = INITIAL_LEAVES;
  private values = new Float64Array(2 * INITIAL_LEAVES * DIMENSIONS).fill(-Infinity);

  /** Sets the free amounts of one position. */
  set(position: number, free: Resources): void {
    while (position >= this.leaves) this.grow();
    const at = (this.leaves + position) * DIMENSIONS;
    this.values[at] = free.cpuMillis;
    this.values[at + 1] = free.memoryMib;
    this.values[at + 2] = free.accelerators;
    this.values[at + 3] = free.slots;
    this.update(this.leaves + position);
  }

  /** Clears a position, so that nothing fits there. */
  clear(position: number): void {
    if (position >= this.leaves) return;
    const at = (this.leaves + position) * DIMENSIONS;
    this.values.fill(-Infinity, at, at + DIMENSIONS);
    this.update(this.leaves + position);
  }

  /** Returns false only if no position fits; true may be a false positive. */
  mightFit(size: Resources): boolean {
    return this.fitsNode(1, size);
  }

  /** Returns the first accepted position from `start`, wrapping around, or -1 if none fits. */
  find(size: Resources, start: number, accept: (position: number) => boolean): number {
    const found = this.search(1, 0, this.leaves, size, start, this.leaves, accept);
    if (found >= 0) return found;
    return this.search(1, 0, this.leaves, size, 0, start, accept);
  }

  private search(
    node: number,
    low: number,
    high: number,
    size: Resources,
    from: number,
    to: number,
    accept: (position: number) => boolean,
  ): number {
    if (high <= from || low >= to || !this.fitsNode(node, size)) return -1;
    if (node >= this.leaves) return accept(low) ? low : -1;
    const middle = (low + high) / 2;
    const left = this.search(2 * node, low, middle, size, from, to, accept);
    if (left >= 0) return left;
    return this.search(2 * node + 1, middle, high, size, from, to, accept);
  }

  private fitsNode(node: number, size: Resources): boolean {
    const at = node * DIMENSIONS;
    return (
      size.cpuMillis <= this.values[at]! &&
      size.memoryMib <= this.values[at + 1]! &&
      size.accelerators <= this.values[at + 2]! &&
      size.slots <= this.values[at + 3]!
    );
  }

  private update(leaf: number): void {
    const { values } = this;
    for (let node = Math.floor(leaf / 2); node >= 1; node = Math.floor(node / 2)) {
      const at = node * DIMENSIONS;
      const left = 2 * at;
      const right = left + DIMENSIONS;
      let changed = false;
      for (let i = 0; i < DIMENSIONS; i++) {
        const largest = Math.max(values[left + i]!, values[right + i]!);
        if (values[at + i] !== largest) {
          values[at + i] = largest;
          changed = true;
        }
      }
      if (!changed) return;
    }
  }

  private grow(): void {
    const old = this.values.slice(this.leaves * DIMENSIONS);
    this.leaves *= 2;
    this.values = new Float64Array(2 * this.leaves * DIMENSIONS).fill(-Infinity);
    this.values.set(old, this.leaves * DIMENSIONS);
    for (let node = this.leaves - 1; node >= 1; node--) {
      for (let i = 0; i < DIMENSIONS; i++) {
        const left = this.values[2 * node * DIMENSIONS + i]!;
        const right = this.values[(2 * node + 1) * DIMENSIONS + i]!;
        this.values[node * DIMENSIONS + i] = Math.max(left, right);
      }
    }
  }
}
