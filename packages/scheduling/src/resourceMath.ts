import { RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

/** Adds `delta` times `factor` to `target` in place, which avoids an allocation on hot paths. */
export function accumulate(target: Resources, delta: Resources, factor: 1 | -1): void {
  target.cpuMillis += factor * delta.cpuMillis;
  target.memoryMib += factor * delta.memoryMib;
  target.accelerators += factor * delta.accelerators;
  target.slots += factor * delta.slots;
}

/** Returns a key that is equal for equal sizes. */
export function sizeKey(size: Resources): string {
  return `${size.cpuMillis},${size.memoryMib},${size.accelerators},${size.slots}`;
}

/** Returns whether `reserved` plus `size` stays within `capacity` in every dimension. */
export function fitsWithReserved(
  size: Resources,
  reserved: Resources,
  capacity: Resources,
): boolean {
  return (
    reserved.cpuMillis + size.cpuMillis <= capacity.cpuMillis &&
    reserved.memoryMib + size.memoryMib <= capacity.memoryMib &&
    reserved.accelerators + size.accelerators <= capacity.accelerators &&
    reserved.slots + size.slots <= capacity.slots
  );
}

/**
 * Returns how many tasks of `size` fit into `free` at once, or Infinity for an empty size.
 * Returns 0 if any dimension of `free` is negative, including one that `size` does not use.
 */
export function countFits(size: Resources, free: Resources): number {
  let count = Infinity;
  for (const name of RESOURCE_NAMES) {
    if (free[name] < 0) return 0;
    if (size[name] > 0) count = Math.min(count, Math.floor(free[name] / size[name]));
  }
  return count;
}

/** Returns a size with every dimension multiplied by `count`. */
export function multiplyResources(size: Resources, count: number): Resources {
  return {
    cpuMillis: size.cpuMillis * count,
    memoryMib: size.memoryMib * count,
    accelerators: size.accelerators * count,
    slots: size.slots * count,
  };
}

/** Returns a size with every dimension rounded up to a whole number. */
export function ceilResources(size: Resources): Resources {
  return {
    cpuMillis: Math.ceil(size.cpuMillis),
    memoryMib: Math.ceil(size.memoryMib),
    accelerators: Math.ceil(size.accelerators),
    slots: Math.ceil(size.slots),
  };
}
