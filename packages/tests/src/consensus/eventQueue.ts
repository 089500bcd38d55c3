interface ScheduledEvent {
  atMs: number;
  insertionOrder: number;
  run: () => void;
}

/** Priority queue of events by time; events at the same time keep their insertion order. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private lastInsertionOrder = 0;

  add(atMs: number, run: () => void): void {
    this.lastInsertionOrder += 1;
    this.heap.push({ atMs, insertionOrder: this.lastInsertionOrder, run });
    this.siftUp(this.heap.length - 1);
  }

  /** Removes and returns the next event. */
  removeFirst(): ScheduledEvent {
    const { heap } = this;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      this.siftDown();
    }
    return first;
  }

  private siftUp(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.isBefore(at, parent)) return;
      this.swap(at, parent);
      at = parent;
    }
  }

  private siftDown(): void {
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      let next = at;
      if (left < this.heap.length && this.isBefore(left, next)) next = left;
      if (right < this.heap.length && this.isBefore(right, next)) next = right;
      if (next === at) return;
      this.swap(at, next);
      at = next;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const x = this.heap[a]!;
    const y = this.heap[b]!;
    return x.atMs < y.atMs || (x.atMs === y.atMs && x.insertionOrder < y.insertionOrder);
  }

  private swap(a: number, b: number): void {
    const item = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = item;
  }
}
