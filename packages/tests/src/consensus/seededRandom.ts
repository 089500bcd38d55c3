import type { Random } from 'fast-check';

import { createRandomSource } from './randomSource.js';

/** Random numbers of one schedule, determined by a seed. */
export class SeededRandom {
  private readonly source: Random;

  constructor(seed: number) {
    this.source = createRandomSource(seed);
  }

  /** Returns a number in [0, 1). */
  readonly next = (): number => this.source.nextDouble();

  /** Returns a number in [min, max). */
  between(min: number, max: number): number {
    return min + this.next() * (max - min);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns one of the items. */
  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.next() * items.length)]!;
  }
}
