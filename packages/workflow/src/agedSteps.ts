/**
 * Time for which an aged step is put first, and between the beginnings of two turns of a priority, so
 * that aged steps do not take over.
 */
const TURN_MS = 1000;

/** Time that a step has waited at least before it is put first. */
const MIN_WAIT_MS = 10_000;

/** A waiting step as seen by {@link AgedSteps}. */
export interface WaitingStep {
  name: string;
  priority: number;
  /** Time after which the end of its job is of no use to the caller; Infinity if there is none. */
  usefulMs: number;
}

interface Turn {
  name: string;
  endMs: number;
}

/**
 * Prevents that a step waits forever because others of its priority always precede it. One step of
 * each priority that has waited longer than its job is useful, and at least 10 s, is put first for 1 s
 * or until it has started, then the next one, in the order of their latest turns. Of n such steps each
 * is first within n seconds.
 */
export class AgedSteps {
  /** Monotonic time since which a step has waited, or of the end of its latest turn. */
  private sinceMs = new Map<string, number>();
  private agedNames = new Set<string>();
  private readonly turns = new Map<number, Turn>();

  /**
   * Returns the names of the steps that are put first, at most one per priority.
   *
   * @param waiting - All waiting steps.
   * @param nowMs - Monotonic time.
   */
  choose(waiting: readonly WaitingStep[], nowMs: number): Set<string> {
    const sinceMs = new Map<string, number>();
    const oldest = new Map<number, WaitingStep>();
    const agedNames = new Set<string>();
    for (const step of waiting) {
      const { name, priority, usefulMs } = step;
      const startMs = this.sinceMs.get(name) ?? nowMs;
      sinceMs.set(name, startMs);
      const isAged = this.agedNames.has(name) || nowMs - startMs > Math.max(MIN_WAIT_MS, usefulMs);
      if (!isAged) continue;
      agedNames.add(name);
      const other = oldest.get(priority);
      if (!other || startMs < sinceMs.get(other.name)!) oldest.set(priority, step);
    }
    this.sinceMs = sinceMs;
    this.agedNames = agedNames;
    const chosen = new Set<string>();
    for (const [priority, step] of oldest) {
      const name = this.takeTurn(priority, step.name, nowMs);
      if (name !== undefined) chosen.add(name);
    }
    return chosen;
  }

  private takeTurn(priority: number, oldest: string, nowMs: number): string | undefined {
    const turn = this.turns.get(priority);
    if (turn && nowMs < turn.endMs) {
      return this.agedNames.has(turn.name) ? turn.name : undefined;
    }
    const endMs = nowMs + TURN_MS;
    this.turns.set(priority, { name: oldest, endMs });
    // The next turn is that of the step whose latest one is the longest ago.
    this.sinceMs.set(oldest, endMs);
    return oldest;
  }
}
