import { fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import { sizeKey } from './resourceMath.js';

/** Size that fits on no endpoint for one kind of work; shared by all shapes that need it. */
export interface BlockedSize {
  readonly size: Resources;
  /** False once an endpoint for this kind of work has free capacity for the size. */
  isBlocked: boolean;
}

/**
 * Caches the sizes that fit nowhere, per kind of work, until an endpoint has free capacity for
 * them. This avoids repeated searches of a full cluster.
 */
export class BlockedSizes {
  private readonly byWork = new Map<string, Map<string, BlockedSize>>();

  /** Returns the entry of a blocked size, or undefined if the size may fit. */
  find(work: string, size: Resources): BlockedSize | undefined {
    return this.byWork.get(work)?.get(sizeKey(size));
  }

  /** Adds a size that was found to fit nowhere. */
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

  /** Unblocks all sizes that fit into the available capacity of an endpoint. */
  unblockFitting(works: ReadonlySet<string>, available: Resources): void {
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

  /** Unblocks all sizes. */
  clear(): void {
    for (const sizes of this.byWork.values()) {
      for (const blocked of sizes.values()) blocked.isBlocked = false;
    }
    this.byWork.clear();
  }
}
