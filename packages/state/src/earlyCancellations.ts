import { CancellationTable } from '@lagoongap/model/cancellationTable.js';

import type { CancellationScope } from './commands.js';
import { EARLY_CANCELLATION_RETENTION_MS } from './retention.js';

/** Cancellation of a job that was not known. */
export interface EarlyCancellation extends CancellationScope {
  /** Id of the job. */
  id: string;
  /** Wall time in milliseconds since the epoch of the latest cancellation. */
  cancelledAt: number;
}

/** A submission that may have been cancelled. */
export interface ArrivingJob {
  id: string;
  team: string;
  /** Whether its queue takes work from every caller. */
  isQueueOpen: boolean;
}

/** Returns the text that identifies who is charged for a cancellation. */
export function ownerOf({ scope, team = '' }: CancellationScope): string {
  // Team names contain no line feed.
  return `${scope}\n${team}`;
}

/** Cancellations of jobs whose submissions may still be on their way. */
export class EarlyCancellations {
  private readonly table = new CancellationTable<EarlyCancellation>({
    ownerOf,
    textsOf: (cancellation) => [ownerOf(cancellation), cancellation.id],
  });

  get size(): number {
    return this.table.size;
  }

  add(cancellation: EarlyCancellation): void {
    this.removeExpired(cancellation.cancelledAt);
    this.table.add(cancellation);
  }

  has(id: string, scope: CancellationScope): boolean {
    return this.table.has({ ...scope, id, cancelledAt: 0 });
  }

  /** Removes the cancellations of a submission; returns whether there was one. */
  take({ id, team, isQueueOpen }: ArrivingJob, wallTime: number): boolean {
    this.removeExpired(wallTime);
    const scopes: CancellationScope[] = [{ scope: 'any' }, { scope: 'team', team }];
    if (isQueueOpen) scopes.push({ scope: 'open-queues' });
    const taken = scopes.filter((scope) =>
      this.table.delete(this.table.keyOf({ ...scope, id, cancelledAt: 0 })),
    );
    return taken.length > 0;
  }

  /** Returns the memory in bytes that cancellations of an owner, and of all, take at a time. */
  estimateUse(owner: string, wallTime: number): { own: number; total: number } {
    let own = this.table.bytesOf(owner);
    let total = this.table.totalBytes;
    // Expired ones are removed with the next entry of the log.
    for (const cancellation of this.table.values()) {
      if (!EarlyCancellations.isExpired(cancellation, wallTime)) break;
      const bytes = this.estimateBytes(cancellation);
      total -= bytes;
      if (ownerOf(cancellation) === owner) own -= bytes;
    }
    return { own, total };
  }

  estimateBytes(cancellation: EarlyCancellation): number {
    return this.table.estimateBytes(cancellation);
  }

  snapshot(): EarlyCancellation[] {
    return this.table.snapshot();
  }

  /** @param snapshot - Undefined in snapshots of earlier releases. */
  restore(snapshot: EarlyCancellation[] | undefined): void {
    this.table.restore(snapshot);
  }

  private removeExpired(wallTime: number): void {
    for (const cancellation of this.table.values()) {
      if (!EarlyCancellations.isExpired(cancellation, wallTime)) break;
      this.table.delete(this.table.keyOf(cancellation));
    }
  }

  private static isExpired({ cancelledAt }: EarlyCancellation, wallTime: number): boolean {
    return wallTime - cancelledAt > EARLY_CANCELLATION_RETENTION_MS;
  }
}
