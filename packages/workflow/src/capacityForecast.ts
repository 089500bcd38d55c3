import { addResources, type Resources } from '@lagoongap/model/resources.js';

/** Capacity that is expected to become free. */
interface Release {
  /** Time from now in milliseconds. */
  inMs: number;
  size: Resources;
}

/** Capacity that steps of a priority are going to use. */
interface Claim {
  priority: number;
  size: Resources;
}

function countFits(free: number, need: number): number {
  if (free < Math.max(0, need)) return 0;
  return need > 0 ? Math.floor(free / need) : Infinity;
}

function accumulate(sum: Resources, size: Resources, sign: 1 | -1): void {
  Object.assign(sum, {
    cpuMillis: sum.cpuMillis + sign * size.cpuMillis,
    memoryMib: sum.memoryMib + sign * size.memoryMib,
    accelerators: sum.accelerators + sign * size.accelerators,
  });
}

/** Returns how many tasks of a size fit into the free capacity of an endpoint or a limit. */
export function countTasks(size: Resources, free: Resources): number {
  return Math.min(
    countFits(free.cpuMillis, size.cpuMillis),
    countFits(free.memoryMib, size.memoryMib),
    countFits(free.accelerators, size.accelerators),
  );
}

/** Free capacity at a time, for steps of a priority. */
interface Availability {
  priority: number;
  inMs: number;
  size: Resources;
}

/**
 * Expected free capacity of an endpoint, or expected headroom in the limit of an organisation, as a
 * function of time: what is free now, what becomes free, and what is claimed already.
 */
export class CapacityForecast {
  private readonly free: Resources;
  /** By the key of the run that ends. */
  private readonly releases = new Map<string, Release>();
  private readonly claims: Claim[] = [];
  /** Latest result; a search reads the same one for each set of runs that it considers. */
  private latest: Availability | undefined;

  /** @param free - Capacity that is free now; negative after the capacity has shrunk. */
  constructor(free: Resources) {
    this.free = free;
  }

  /** Sets when the capacity of a run becomes free, in milliseconds from now. */
  setRelease(run: string, size: Resources, inMs: number): void {
    this.latest = undefined;
    this.releases.set(run, { size, inMs });
  }

  /** Claims capacity for steps of a priority, against others of the same or a lower one. */
  claim(size: Resources, priority: number, count = 1): void {
    this.latest = undefined;
    for (let i = 0; i < count; i += 1) this.claims.push({ size, priority });
  }

  /** Returns how many tasks of a priority fit at a time from now. */
  countTasks(size: Resources, priority: number, inMs: number): number {
    return countTasks(size, this.availableAt(priority, inMs));
  }

  /** Returns how many tasks fit at a time from now if runs of the given sizes end until then. */
  countTasksAfter(
    size: Resources,
    priority: number,
    inMs: number,
    ended: readonly Resources[],
  ): number {
    return countTasks(size, ended.reduce(addResources, this.availableAt(priority, inMs)));
  }

  /** Returns the time from now at which a task of a priority fits; Infinity if it is not known. */
  nextFitMs(size: Resources, priority: number): number {
    let available = this.availableAt(priority, -Infinity);
    if (countTasks(size, available) > 0) return 0;
    const releases = [...this.releases.values()].sort((a, b) => a.inMs - b.inMs);
    for (const release of releases) {
      available = addResources(available, release.size);
      if (countTasks(size, available) > 0) return release.inMs;
    }
    return Infinity;
  }

  private availableAt(priority: number, inMs: number): Resources {
    const { latest } = this;
    if (latest?.priority === priority && latest.inMs === inMs) return latest.size;
    const size = { ...this.free };
    for (const release of this.releases.values()) {
      if (release.inMs <= inMs) accumulate(size, release.size, 1);
    }
    for (const claim of this.claims) {
      if (claim.priority <= priority) accumulate(size, claim.size, -1);
    }
    this.latest = { priority, inMs, size };
    return size;
  }
}
