import type { ReadyStep } from './readySteps.js';
import type { RunLedger } from './runLedger.js';
import type { TicketBook } from './ticketBook.js';

/** What a step could not be placed with. */
interface Block {
  waitingCount: number;
  /** Version of the step's tickets; 0 where none are needed. */
  bookVersion: number;
  /** Time at which advice may be asked for again. */
  nextAskMs: number;
  /** Releases of room that were looked at. */
  releaseCount: number;
  isWithinLimit: boolean;
}

/** What a step could be placed with now. */
export interface PlacementChance {
  step: ReadyStep;
  /** Absent where the queue takes no advice. */
  book?: TicketBook;
  isWithinLimit: boolean;
  /** Tells whether an endpoint may be used and has room for one task. */
  hasRoom: (endpoint: string) => boolean;
}

/**
 * Pattern: a full fleet with many waiting steps. Remembers which of them could not be placed, so
 * that a turn looks again only at those for which something has changed: tickets, the
 * organisation's use, or room on an endpoint that they may use.
 */
export class BlockedSteps {
  private readonly ledger: RunLedger;
  private readonly blocks = new Map<string, Block>();

  constructor(ledger: RunLedger) {
    this.ledger = ledger;
  }

  /** Notes that the tasks of a step that still wait found no place. */
  note({ step, book, isWithinLimit }: PlacementChance, waitingCount: number): void {
    this.blocks.set(step.name, {
      waitingCount,
      bookVersion: book?.version ?? 0,
      nextAskMs: book?.nextAskMs ?? Infinity,
      releaseCount: this.ledger.releaseCount,
      isWithinLimit,
    });
  }

  /** Tells whether nothing has changed that could give a waiting task of the step a place. */
  isBlocked({ step, book, isWithinLimit, hasRoom }: PlacementChance, nowMs: number): boolean {
    const block = this.blocks.get(step.name);
    if (!block || block.waitingCount !== step.waiting.length) return false;
    if (block.bookVersion !== (book?.version ?? 0) || nowMs >= block.nextAskMs) return false;
    if (!isWithinLimit) return true;
    if (!block.isWithinLimit) return false;
    const released = this.ledger.listReleases(block.releaseCount);
    block.releaseCount = this.ledger.releaseCount;
    return !released.some(
      (endpoint) => (!book || book.find(endpoint, nowMs) !== undefined) && hasRoom(endpoint),
    );
  }

  /** Looks at all steps again; for changes that are not followed, such as endpoints coming back. */
  clear(): void {
    this.blocks.clear();
    this.ledger.forgetReleases();
  }
}
