/** Options of a {@link CancellationTable}. */
export interface CancellationTableOptions<Cancellation> {
  /** Returns who is charged for the memory of a cancellation. */
  ownerOf: (cancellation: Cancellation) => string;
  /** Returns the texts that tell a cancellation apart from others. */
  textsOf: (cancellation: Cancellation) => string[];
}

/** Estimated memory of an entry without its texts, in bytes. */
const BYTES_PER_ENTRY = 256;
const BYTES_PER_CHARACTER = 2;

/**
 * Tombstones of jobs that were cancelled before they were known, oldest first. The submission of
 * such a job may still be on its way, and must not run when it arrives.
 */
export class CancellationTable<Cancellation> {
  private readonly opts: CancellationTableOptions<Cancellation>;
  private readonly entries = new Map<string, Cancellation>();
  private readonly ownerBytes = new Map<string, number>();
  private bytes = 0;

  constructor(opts: CancellationTableOptions<Cancellation>) {
    this.opts = opts;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Estimated memory of all entries, in bytes. */
  get totalBytes(): number {
    return this.bytes;
  }

  /** Estimated memory of the entries that an owner is charged for, in bytes. */
  bytesOf(owner: string): number {
    return this.ownerBytes.get(owner) ?? 0;
  }

  /** Estimates the memory of an entry, in bytes. */
  estimateBytes(cancellation: Cancellation): number {
    let bytes = BYTES_PER_ENTRY;
    for (const text of this.opts.textsOf(cancellation)) bytes += text.length * BYTES_PER_CHARACTER;
    return bytes;
  }

  /** Returns a text that tells a cancellation apart from others. */
  keyOf(cancellation: Cancellation): string {
    return JSON.stringify(this.opts.textsOf(cancellation));
  }

  keys(): IterableIterator<string> {
    return this.entries.keys();
  }

  values(): IterableIterator<Cancellation> {
    return this.entries.values();
  }

  has(cancellation: Cancellation): boolean {
    return this.entries.has(this.keyOf(cancellation));
  }

  /** Adds an entry as the newest one; replaces an equal one. */
  add(cancellation: Cancellation): void {
    const key = this.keyOf(cancellation);
    this.delete(key);
    this.entries.set(key, cancellation);
    this.addBytes(cancellation, this.estimateBytes(cancellation));
  }

  /** Removes an entry; returns whether there was one. */
  delete(key: string): boolean {
    const entry = this.entries.get(key);
    if (!entry) return false;
    this.entries.delete(key);
    this.addBytes(entry, -this.estimateBytes(entry));
    return true;
  }

  snapshot(): Cancellation[] {
    return [...this.entries.values()];
  }

  /** @param snapshot - Undefined in snapshots of earlier releases. */
  restore(snapshot: Cancellation[] = []): void {
    this.entries.clear();
    this.ownerBytes.clear();
    this.bytes = 0;
    for (const entry of snapshot) this.add(entry);
  }

  private addBytes(cancellation: Cancellation, bytes: number): void {
    const owner = this.opts.ownerOf(cancellation);
    const sum = this.bytesOf(owner) + bytes;
    if (sum > 0) this.ownerBytes.set(owner, sum);
    else this.ownerBytes.delete(owner);
    this.bytes += bytes;
  }
}
