/** Binary min-heap, ordered by a comparison function. */
export class BinaryHeap<T> {
  private items: T[] = [];

  constructor(private readonly compare: (a: T, b: T) => number) {}

  get size(): number {
    return this.items.length;
  }

  peek(): T | undefined {
    return this.items[0];
  }

  push(item: T): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1);
  }

  pop(): T | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (this.items.length > 0 && last !== undefined) {
      this.items[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  /** Removes the items for which `keep` returns false, in linear time. */
  retain(keep: (item: T) => boolean): void {
    this.items = this.items.filter(keep);
    for (let i = Math.floor(this.items.length / 2) - 1; i >= 0; i--) this.siftDown(i);
  }

  private siftUp(start: number): void {
    const { items } = this;
    let index = start;
    const item = items[index]!;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (this.compare(item, items[parent]!) >= 0) break;
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = item;
  }

  private siftDown(start: number): void {
    const { items } = this;
    let index = start;
    const item = items[index]!;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && this.compare(items[child + 1]!, items[child]!) < 0) {
        child += 1;
      }
      if (this.compare(items[child]!, item) >= 0) break;
      items[index] = items[child]!;
      index = child;
    }
    items[index] = item;
  }
}
