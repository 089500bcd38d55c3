import type { SoakJob } from './soakHistory.js';

/** Time for which a start may still be based on an earlier capacity of the endpoint. */
const CONTACT_MS = 4000;
const HEARTBEAT_MS = 300;
const CAPACITY_GRACE_MS = CONTACT_MS + HEARTBEAT_MS;

/** Free capacity that counts as room, as a multiple of what a task needs. */
const ROOM_FACTOR = 2;

interface Capacity {
  millis: number;
  /** Time of the acknowledgement; undefined while the report is on its way. */
  acknowledgedMs?: number;
}

interface EndpointState {
  /** Running tasks by name. */
  tasks: Map<string, SoakJob>;
  /** Reported capacities, latest last; those that no start may be based on are removed. */
  capacities: Capacity[];
}

/** Running tasks of each endpoint against the capacities that it has reported. */
export class EndpointUsage {
  private readonly endpoints = new Map<string, EndpointState>();
  private readonly initialMillis: number;

  /** @param initialMillis - Capacity of endpoints that have not reported another one. */
  constructor(initialMillis: number) {
    this.initialMillis = initialMillis;
  }

  /** Records that an endpoint reports a capacity, on which starts may be based from now on. */
  recordCapacity(endpoint: string, millis: number): void {
    const { capacities } = this.getState(endpoint);
    if (capacities.at(-1)!.millis !== millis) capacities.push({ millis });
  }

  /** Records that a reported capacity was acknowledged; it replaces the earlier ones in time. */
  recordCapacityAcknowledged(endpoint: string, millis: number): void {
    const latest = this.getState(endpoint).capacities.at(-1)!;
    if (latest.millis === millis) latest.acknowledgedMs ??= performance.now();
  }

  add(endpoint: string, task: string, job: SoakJob): void {
    this.getState(endpoint).tasks.set(task, job);
  }

  remove(endpoint: string, task: string): void {
    this.getState(endpoint).tasks.delete(task);
  }

  getUsedMillis(endpoint: string): number {
    const jobs = [...this.getState(endpoint).tasks.values()];
    return jobs.reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
  }

  /** Returns the highest capacity on which a start on the endpoint may be based now. */
  getLimitMillis(endpoint: string): number {
    const { capacities } = this.getState(endpoint);
    const graceStartMs = performance.now() - CAPACITY_GRACE_MS;
    const isInForce = ({ acknowledgedMs = Infinity }: Capacity): boolean =>
      acknowledgedMs <= graceStartMs;
    capacities.splice(0, Math.max(0, capacities.findLastIndex(isInForce)));
    return Math.max(...capacities.map(({ millis }) => millis));
  }

  /** Returns whether one of the endpoints has room for a task of the job. */
  hasRoom(job: SoakJob, endpoints: string[]): boolean {
    return endpoints.some((endpoint) => {
      const { tasks, capacities } = this.getState(endpoint);
      const jobs = [...tasks.values()];
      const siblingCount = jobs.filter(({ id }) => id === job.id).length;
      const freeMillis = capacities.at(-1)!.millis - this.getUsedMillis(endpoint);
      const isAllowed = job.maxPerEndpoint === undefined || siblingCount < job.maxPerEndpoint;
      return isAllowed && freeMillis >= job.cpuMillis * ROOM_FACTOR;
    });
  }

  private getState(endpoint: string): EndpointState {
    let state = this.endpoints.get(endpoint);
    if (!state) {
      state = { tasks: new Map(), capacities: [{ millis: this.initialMillis }] };
      this.endpoints.set(endpoint, state);
    }
    return state;
  }
}
