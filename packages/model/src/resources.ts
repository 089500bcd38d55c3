/** Resource vector: the amounts that a task requires or an endpoint provides. */
export interface Resources {
  /** Processor time in thousandths of a core. */
  cpuMillis: number;
  /** Memory in mebibytes. */
  memoryMib: number;
  /** Number of whole accelerators. */
  accelerators: number;
  /** Number of work units that a runner can process concurrently. */
  slots: number;
}

/** Names of the resource dimensions, in a fixed order. */
export const RESOURCE_NAMES = ['cpuMillis', 'memoryMib', 'accelerators', 'slots'] as const;

/** Name of a resource dimension. */
export type ResourceName = (typeof RESOURCE_NAMES)[number];

/** Resource vector that is zero in every dimension. */
export const NO_RESOURCES: Readonly<Resources> = Object.freeze({
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 0,
});

/** Returns the sum of two resource vectors. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMib: a.memoryMib + b.memoryMib,
    accelerators: a.accelerators + b.accelerators,
    slots: a.slots + b.slots,
  };
}

/** Returns `a` minus `b`; the result may be negative in some dimensions. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMib: a.memoryMib - b.memoryMib,
    accelerators: a.accelerators - b.accelerators,
    slots: a.slots - b.slots,
  };
}

/** Returns whether `size` fits into `free` in every dimension. */
export function fitsInto(size: Resources, free: Resources): boolean {
  return (
    size.cpuMillis <= free.cpuMillis &&
    size.memoryMib <= free.memoryMib &&
    size.accelerators <= free.accelerators &&
    size.slots <= free.slots
  );
}

/** Returns the element-wise maximum of two resource vectors. */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMib: Math.max(a.memoryMib, b.memoryMib),
    accelerators: Math.max(a.accelerators, b.accelerators),
    slots: Math.max(a.slots, b.slots),
  };
}

/** Returns the element-wise minimum of two resource vectors. */
export function minResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMib: Math.min(a.memoryMib, b.memoryMib),
    accelerators: Math.min(a.accelerators, b.accelerators),
    slots: Math.min(a.slots, b.slots),
  };
}

/**
 * Returns the dominant share of `size`, that is its largest fraction of `total` over all
 * dimensions, as used by dominant resource fairness. Dimensions that are zero in `total` are
 * ignored.
 */
export function dominantShare(size: Resources, total: Resources): number {
  let share = 0;
  for (const name of RESOURCE_NAMES) {
    if (total[name] > 0) share = Math.max(share, size[name] / total[name]);
  }
  return share;
}
