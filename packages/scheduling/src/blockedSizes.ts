import { fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import { sizeKey } from './resourceMath.js';

/** A size that fitted nowhere for one kind of work; shared by all shapes that need it. */
export interface BlockedSize {
  readonly size: Resources;
  /** False once an endpoint for this kind of work has room for the size. */
  isBlocked: boolean;
}

/**
 * Remembers which sizes fit nowhere, per kind of work, until an endpoint has
 * room for them, so that a full cluster is not searched again and again.
 */
export class BlockedSizes {
  private readonly byWork = new Map<string, Map<string, BlockedSize>>();

  /** Returns the mark of a size, or undefined if it is not known to fit nowhere. */
  find(work: string, size: Resources): BlockedSize | undefined {
    return this.byWork.get(work)?.get(sizeKey(size));
  }

  /** Marks a size that was found to fit nowhere. */
  add(work: string, size: Resources): BlockedSize {
    let sizes = this.byWork.get(work);
    if (!sizes) {
      sizes = new Map();
      this.byWork.set(work, sizes);
    }
    const blocked: BlockedSize = { size: { ...size }, isBlocked: true };
    sizes.set(sizeKey(size), blocked);
    return blocked;
  }

  /** Lifts the marks of all sizes that fit into what an endpoint has available now. */
  lift(works: ReadonlySet<string>, available: Resources): void {
    if (this.byWork.size === 0) return;
    for (const work of works) {
      const sizes = this.byWork.get(work);
      if (!sizes) continue;
      for (const [key, blocked] of sizes) {
        if (!fitsInto(blocked.size, available)) continue;
        blocked.isBlocked = false;
        sizes.delete(key);
      }
    }
  }

  /** Lifts all marks. */
  clear(): void {
    for (const sizes of this.byWork.values()) {
      for (const blocked of sizes.values()) blocked.isBlocked = false;
    }
    this.byWork.clear();
  }
}
