/** Options of {@link RetentionQueue.prune}. */
export interface PruneOptions {
  /** Maximum number of identifiers to retain. */
  max: number;
  isExpired: (id: string) => boolean;
  drop: (id: string) => void;
}

/** Queue of identifiers of finished work, oldest first, pruned by age and number. */
export class RetentionQueue {
  private ids: string[] = [];
  private head = 0;

  push(id: string): void {
    this.ids.push(id);
  }

  /** Drops the oldest identifiers while they are expired or exceed the maximum number. */
  prune({ max, isExpired, drop }: PruneOptions): void {
    while (this.head < this.ids.length) {
      const id = this.ids[this.head]!;
      if (this.ids.length - this.head <= max && !isExpired(id)) break;
      this.head += 1;
      drop(id);
    }
    // Compaction at half of the array makes the cost of a drop amortised constant.
    if (this.head > this.ids.length / 2) this.compact();
  }

  snapshot(): string[] {
    this.compact();
    return [...this.ids];
  }

  restore(ids: string[]): void {
    this.ids = [...ids];
    this.head = 0;
  }

  private compact(): void {
    this.ids = this.ids.slice(this.head);
    this.head = 0;
  }
}
