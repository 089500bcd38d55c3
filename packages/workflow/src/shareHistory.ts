import { dominantShare, NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

/** Time after which usage counts 1/e in the share of an organisation. */
const WINDOW_MS = 10_000;

interface History {
  /** Decayed average of the dominant share. */
  average: number;
  /** Share in use since the latest update. */
  current: number;
  updatedMs: number;
}

/**
 * Shares of organisations with a memory. The share that counts is the larger one of what runs now and
 * of the decayed average of the time before, so that an organisation that sends many short tasks does
 * not look small whenever its tasks have just ended, and one that has just begun does not either.
 */
export class ShareHistory {
  private readonly histories = new Map<string, History>();
  private readonly windowMs: number;

  constructor(windowMs = WINDOW_MS) {
    this.windowMs = windowMs;
  }

  /**
   * Updates the share of an organisation.
   *
   * @param used - Resources in use by the organisation.
   * @param total - Capacity of all endpoints.
   * @returns Its dominant share, 0 to 1.
   */
  update(organisation: string, used: Resources, total: Resources, nowMs: number): number {
    const current = dominantShare({ ...used, slots: 0 }, { ...total, slots: 0 });
    const history = this.histories.get(organisation);
    if (!history) {
      if (current > 0) this.histories.set(organisation, { average: 0, current, updatedMs: nowMs });
      return current;
    }
    const decay = Math.exp(-(nowMs - history.updatedMs) / this.windowMs);
    history.average = history.average * decay + history.current * (1 - decay);
    history.current = current;
    history.updatedMs = nowMs;
    return Math.max(current, history.average);
  }
}

/** Returns the sum of the capacities of endpoints. */
export function sumCapacity(capacities: Iterable<Resources>): Resources {
  const total = { ...NO_RESOURCES };
  for (const { cpuMillis, memoryMib, accelerators } of capacities) {
    total.cpuMillis += cpuMillis;
    total.memoryMib += memoryMib;
    total.accelerators += accelerators;
  }
  return total;
}
