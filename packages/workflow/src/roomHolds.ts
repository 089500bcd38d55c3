import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

/** Room on an endpoint that is kept for one step. */
export interface RoomHold {
  endpoint: string;
  /** Name of the step that may use the room. */
  step: string;
  /** Priority of the queue of the step; lower values are more urgent. */
  priority: number;
  size: Resources;
  /** Monotonic time after which the room is free again. */
  untilMs: number;
}

/**
 * Keeps free room for the steps that it was freed for or is about to be used by. A hold keeps other
 * steps of the same or a lower priority away; more urgent work may take the room. Holds are not
 * durable: a new leader places work by priority, so that the room goes to the most urgent step.
 */
export class RoomHolds {
  private readonly holds = new Map<string, RoomHold[]>();

  /** Adds a hold. */
  add(hold: RoomHold): void {
    const known = this.holds.get(hold.endpoint);
    if (known) known.push(hold);
    else this.holds.set(hold.endpoint, [hold]);
  }

  /** Removes the holds of a step, on one endpoint or on all. */
  release(step: string, endpoint?: string): void {
    const endpoints = endpoint === undefined ? [...this.holds.keys()] : [endpoint];
    for (const id of endpoints) this.keep(id, (hold) => hold.step !== step);
  }

  /** Removes the holds of an endpoint that has ended. */
  releaseEndpoint(endpoint: string): void {
    this.holds.delete(endpoint);
  }

  /** Removes the holds that have expired. */
  removeExpired(nowMs: number): void {
    for (const id of [...this.holds.keys()]) this.keep(id, ({ untilMs }) => untilMs > nowMs);
  }

  /** Lists the holds of a step that have not expired. */
  listOf(step: string, nowMs: number): RoomHold[] {
    return [...this.holds.values()]
      .flat()
      .filter((hold) => hold.step === step && hold.untilMs > nowMs);
  }

  /** Returns the room on an endpoint that a step of a priority may not use. */
  heldAgainst(endpoint: string, step: string, priority: number, nowMs: number): Resources {
    const holds = this.holds.get(endpoint);
    if (!holds) return NO_RESOURCES;
    let held = NO_RESOURCES;
    for (const hold of holds) {
      const applies = hold.step !== step && hold.priority <= priority && hold.untilMs > nowMs;
      if (applies) {
        held = {
          cpuMillis: held.cpuMillis + hold.size.cpuMillis,
          memoryMib: held.memoryMib + hold.size.memoryMib,
          accelerators: held.accelerators + hold.size.accelerators,
          slots: held.slots + hold.size.slots,
        };
      }
    }
    return held;
  }

  private keep(endpoint: string, isKept: (hold: RoomHold) => boolean): void {
    const kept = this.holds.get(endpoint)?.filter(isKept) ?? [];
    if (kept.length > 0) this.holds.set(endpoint, kept);
    else this.holds.delete(endpoint);
  }
}
