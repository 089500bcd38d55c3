import {
  addResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@lagoongap/model/resources.js';

/** Part of held room that a run still uses. */
export interface AwaitedRoom {
  run: string;
  size: Resources;
}

/** Room on an endpoint that is kept for one step. */
export interface RoomHold {
  endpoint: string;
  /** Name of the step that may use the room. */
  step: string;
  /** Organisation of the step, whose limit has to admit the room; absent if it need not. */
  organisation?: string;
  /** Priority of the queue of the step; lower values are more urgent. */
  priority: number;
  size: Resources;
  /** Monotonic time after which the room is free again. */
  untilMs: number;
  /** Monotonic time at which runs were stopped to free the room; absent if it was free. */
  stoppedMs?: number;
  /** Runs that have to end before the step can use all of the room. */
  awaits?: AwaitedRoom[];
}

/**
 * Keeps free room for the steps that it was freed for or is about to be used by. A hold keeps other
 * steps of the same or a lower priority away; more urgent work may take the room. Holds are not
 * durable: a new leader places work by priority, so that the room goes to the most urgent step.
 */
export class RoomHolds {
  private readonly holds = new Map<string, RoomHold[]>();
  private readonly onReleased: (endpoint: string) => void;
  private readonly isStopping: (run: string) => boolean;

  /**
   * @param onReleased - Called for an endpoint of which other steps may use more.
   * @param isStopping - Returns whether a run that was stopped is expected to end soon.
   */
  constructor(
    onReleased: (endpoint: string) => void = () => {},
    isStopping: (run: string) => boolean = () => false,
  ) {
    this.onReleased = onReleased;
    this.isStopping = isStopping;
  }

  /** Adds a hold. */
  add(hold: RoomHold): void {
    const known = this.holds.get(hold.endpoint);
    if (known) known.push(hold);
    else this.holds.set(hold.endpoint, [hold]);
  }

  /** Removes and returns the oldest hold of a step on an endpoint, which the step uses now. */
  use(step: string, endpoint: string): RoomHold | undefined {
    const used = this.holds.get(endpoint)?.find((hold) => hold.step === step);
    // The room is taken, so that nothing becomes free for other steps.
    if (used) this.keep(endpoint, (hold) => hold !== used);
    return used;
  }

  /** Removes the holds of a step, on one endpoint or on all. */
  release(step: string, endpoint?: string): void {
    const endpoints = endpoint === undefined ? [...this.holds.keys()] : [endpoint];
    for (const id of endpoints) this.releaseWhere(id, (hold) => hold.step === step);
  }

  /** Removes one hold. */
  remove(hold: RoomHold): void {
    this.releaseWhere(hold.endpoint, (it) => it === hold);
  }

  /** Removes the holds of an endpoint that has ended. */
  releaseEndpoint(endpoint: string): void {
    this.releaseWhere(endpoint, () => true);
  }

  /** Removes and returns the holds that have expired. */
  removeExpired(nowMs: number): RoomHold[] {
    const expired = [...this.holds.values()].flat().filter(({ untilMs }) => untilMs <= nowMs);
    for (const id of new Set(expired.map(({ endpoint }) => endpoint))) {
      this.releaseWhere(id, ({ untilMs }) => untilMs <= nowMs);
    }
    return expired;
  }

  /** Lists the holds on an endpoint that have not expired. */
  listOn(endpoint: string, nowMs: number): RoomHold[] {
    return (this.holds.get(endpoint) ?? []).filter((hold) => hold.untilMs > nowMs);
  }

  /** Lists the holds that have not expired. */
  list(nowMs: number): RoomHold[] {
    return [...this.holds.values()].flat().filter((hold) => hold.untilMs > nowMs);
  }

  /** Lists the holds of a step that have not expired. */
  listOf(step: string, nowMs: number): RoomHold[] {
    return this.list(nowMs).filter((hold) => hold.step === step);
  }

  /** Returns the room on an endpoint that a step of a priority may not use. */
  heldAgainst(endpoint: string, step: string, priority: number, nowMs: number): Resources {
    const holds = this.holds.get(endpoint);
    if (!holds) return NO_RESOURCES;
    // Room that is still in use keeps nobody from what is free besides.
    const readSize = ({ size, awaits = [] }: RoomHold): Resources =>
      awaits
        .filter(({ run }) => this.isStopping(run))
        .reduce((rest, awaited) => subtractResources(rest, awaited.size), size);
    return RoomHolds.sumAgainst(holds, readSize, { step, priority, nowMs });
  }

  /** Returns the part of the limit of an organisation that a step of a priority may not use. */
  heldInLimit(organisation: string, step: string, priority: number, nowMs: number): Resources {
    let held = NO_RESOURCES;
    for (const holds of this.holds.values()) {
      const own = holds.filter((hold) => hold.organisation === organisation);
      if (own.length === 0) continue;
      held = addResources(
        held,
        RoomHolds.sumAgainst(own, ({ size }) => size, { step, priority, nowMs }),
      );
    }
    return held;
  }

  private static sumAgainst(
    holds: readonly RoomHold[],
    readSize: (hold: RoomHold) => Resources,
    { step, priority, nowMs }: { step: string; priority: number; nowMs: number },
  ): Resources {
    let sum = NO_RESOURCES;
    for (const hold of holds) {
      const applies = hold.step !== step && hold.priority <= priority && hold.untilMs > nowMs;
      if (applies) sum = addResources(sum, readSize(hold));
    }
    return sum;
  }

  private releaseWhere(endpoint: string, isReleased: (hold: RoomHold) => boolean): void {
    if (!this.holds.get(endpoint)?.some(isReleased)) return;
    this.keep(endpoint, (hold) => !isReleased(hold));
    this.onReleased(endpoint);
  }

  private keep(endpoint: string, isKept: (hold: RoomHold) => boolean): void {
    const kept = this.holds.get(endpoint)?.filter(isKept) ?? [];
    if (kept.length > 0) this.holds.set(endpoint, kept);
    else this.holds.delete(endpoint);
  }
}
