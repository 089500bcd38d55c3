import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';
import { CapacityForecast } from '@lagoongap/workflow/capacityForecast.js';
import type {
  EndpointRoom,
  PreemptionFleet,
  StoppableRun,
} from '@lagoongap/workflow/preemptionTypes.js';

export function toCores(cores: number): Resources {
  return { ...NO_RESOURCES, cpuMillis: cores * 1000 };
}

/** Running work for the planner; the endpoints are full but for those that are added as free. */
export class PlannedFleet implements PreemptionFleet {
  readonly rooms = new Map<string, EndpointRoom>();
  /** The organisation of the urgent steps uses all of its limit. */
  isAtLimit = false;
  private readonly limits = new Map<string, CapacityForecast>();

  addRun(run: StoppableRun): void {
    const room = this.getOrCreateRoom(run.endpoint, 0);
    room.runs.push(run);
    room.forecast.setRelease(run.key, run.size, run.remainingMs);
  }

  getOrCreateRoom(endpoint: string, freeCores: number): EndpointRoom {
    let room = this.rooms.get(endpoint);
    if (!room) {
      room = { forecast: new CapacityForecast(toCores(freeCores)), runs: [] };
      this.rooms.set(endpoint, room);
    }
    return room;
  }

  findRoom(endpoint: string): EndpointRoom | undefined {
    return this.rooms.get(endpoint);
  }

  limitOf(organisation: string): CapacityForecast {
    let forecast = this.limits.get(organisation);
    if (!forecast) {
      forecast = new CapacityForecast(toCores(this.isAtLimit ? 0 : Infinity));
      this.limits.set(organisation, forecast);
    }
    return forecast;
  }

  listRunsOf(organisation: string): StoppableRun[] {
    const runs = [...this.rooms.values()].flatMap((room) => room.runs);
    return runs.filter((run) => run.organisation === organisation);
  }

  mayStop(): boolean {
    return true;
  }

  recordStop(): void {}
}
