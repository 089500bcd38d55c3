/** Identifies the cancellation of a job that was not known. */
export interface EarlyCancellation {
  /** Id of the job. */
  id: string;
  queue: string;
  /** Empty for calls without a key, which open queues accept. */
  organisation: string;
}

/** Estimated memory of an entry without its texts, in bytes. */
const BYTES_PER_ENTRY = 256;
const BYTES_PER_CHARACTER = 2;

/** Estimates the memory that a replica needs for an entry, in bytes. */
export function estimateCancellationBytes({ id, queue, organisation }: EarlyCancellation): number {
  const characters = id.length + queue.length + organisation.length;
  return BYTES_PER_ENTRY + characters * BYTES_PER_CHARACTER;
}

/** Returns a text that tells two cancellations apart. */
export function cancellationKey({ id, queue, organisation }: EarlyCancellation): string {
  return JSON.stringify([queue, organisation, id]);
}

/**
 * Tombstones of jobs that were cancelled before they were known. The submission of such a job may
 * still be on its way, and must not run when it arrives. An organisation can only cancel
 * submissions of its own this way.
 */
export class CancellationTable {
  private readonly entries = new Map<string, EarlyCancellation>();
  private readonly organisationBytes = new Map<string, number>();
  private bytes = 0;

  get size(): number {
    return this.entries.size;
  }

  /** Estimated memory of all entries, in bytes. */
  get totalBytes(): number {
    return this.bytes;
  }

  /** Estimated memory of the entries of an organisation, in bytes. */
  bytesOf(organisation: string): number {
    return this.organisationBytes.get(organisation) ?? 0;
  }

  keys(): IterableIterator<string> {
    return this.entries.keys();
  }

  has(cancellation: EarlyCancellation): boolean {
    return this.entries.has(cancellationKey(cancellation));
  }

  add({ id, queue, organisation }: EarlyCancellation): void {
    const entry = { id, queue, organisation };
    const key = cancellationKey(entry);
    if (this.entries.has(key)) return;
    this.entries.set(key, entry);
    this.addBytes(organisation, estimateCancellationBytes(entry));
  }

  /** Removes an entry; returns whether there was one. */
  delete(key: string): boolean {
    const entry = this.entries.get(key);
    if (!entry) return false;
    this.entries.delete(key);
    this.addBytes(entry.organisation, -estimateCancellationBytes(entry));
    return true;
  }

  snapshot(): EarlyCancellation[] {
    return [...this.entries.values()];
  }

  /** @param snapshot - Undefined in snapshots of earlier releases. */
  restore(snapshot: EarlyCancellation[] = []): void {
    this.entries.clear();
    this.organisationBytes.clear();
    this.bytes = 0;
    for (const entry of snapshot) this.add(entry);
  }

  private addBytes(organisation: string, bytes: number): void {
    const sum = this.bytesOf(organisation) + bytes;
    if (sum > 0) this.organisationBytes.set(organisation, sum);
    else this.organisationBytes.delete(organisation);
    this.bytes += bytes;
  }
}
