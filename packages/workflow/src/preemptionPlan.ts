import { minResources, subtractResources, type Resources } from '@lagoongap/model/resources.js';

import type {
  EndpointRoom,
  PreemptionFleet,
  PreemptionPlan,
  PreemptionTiming,
  StoppableRun,
  UrgentStep,
} from './preemptionTypes.js';
import type { AwaitedRoom } from './roomHolds.js';
import { listVictimSets, lostValue, VALUE_LOSS_FACTOR, type VictimSet } from './victimSets.js';

/**
 * Slack below which a step no longer waits for room that may become free unexpectedly, as a multiple
 * of the time that freeing takes. The second half is for stops that take long.
 */
const LEAD_FACTOR = 2;

/** Returns the slack from which on runs are stopped for a step. */
export function leadMs({ freeingMs }: PreemptionTiming): number {
  return freeingMs * LEAD_FACTOR;
}

/** Runs to stop, and the tasks that fit on one endpoint afterwards. */
interface Choice {
  endpoint: string;
  runs: StoppableRun[];
  taskCount: number;
  /** Cost of the stops for each task that fits. */
  cost: number;
}

function findCheapest(choices: Iterable<Choice>): Choice | undefined {
  let best: Choice | undefined;
  for (const choice of choices) if (!best || choice.cost < best.cost) best = choice;
  return best;
}

/** Divides the room of stopped runs among tasks that will use it. */
function splitRoom(
  runs: readonly StoppableRun[],
  size: Resources,
  taskCount: number,
): AwaitedRoom[][] {
  const rest = runs.map((run) => ({ run: run.key, size: run.size }));
  return Array.from({ length: taskCount }, () => {
    let need = size;
    return rest.map((room) => {
      const share = minResources(need, room.size);
      need = subtractResources(need, share);
      room.size = subtractResources(room.size, share);
      return { run: room.run, size: share };
    });
  });
}

/** Search for runs to stop for one step. */
interface Search {
  step: UrgentStep;
  /** Largest number of further tasks by endpoint. */
  slots: Map<string, number>;
  latenessMs: number;
  /** Share of the value of its job that the step saves if it need not wait. */
  gain: number;
  /** The limit admits no further task, so that only runs of the organisation are stopped. */
  isForLimit: boolean;
}

/**
 * Chooses runs to stop for urgent steps during a burst that exceeds the free capacity. A stop is
 * planned only for tasks that would be late if they waited for runs to end by themselves, and only
 * if the victims lose less of the value of their jobs than the urgent job would lose by waiting.
 */
export class PreemptionPlanner {
  private readonly fleet: PreemptionFleet;
  private readonly timing: PreemptionTiming;
  private readonly plan: PreemptionPlan = { stops: [], holds: [] };
  private readonly stopped = new Set<string>();
  /** Steps with a stopped run; their jobs are delayed whatever else is stopped of them. */
  private readonly delayedSteps = new Set<string>();

  constructor(fleet: PreemptionFleet, timing: PreemptionTiming) {
    this.fleet = fleet;
    this.timing = timing;
  }

  /** Everything planned so far. */
  get result(): PreemptionPlan {
    return this.plan;
  }

  /** Plans the stops for one step; steps are passed in the order of their urgency. */
  add(step: UrgentStep): void {
    const { size, priority, organisation, slackMs, targetMs } = step;
    if (slackMs < -targetMs * VALUE_LOSS_FACTOR) return;
    const slots = new Map(step.endpoints.map(({ id, maxTasks }) => [id, maxTasks]));
    const open = this.claimExpectedRoom(step, slots);
    if (open === 0 || slackMs > leadMs(this.timing)) return;
    const latenessMs = this.expectLatenessMs(step, slots);
    const gain = lostValue(-latenessMs, targetMs);
    const limit = this.fleet.limitOf(organisation);
    const admitted = Math.min(open, limit.countTasks(size, priority, this.horizonMs(step)));
    const search = { step, slots, latenessMs, gain, isForLimit: false };
    const isCovered = this.stopForRoom(search, admitted);
    if (isCovered) this.stopForLimit({ ...search, isForLimit: true }, open - admitted);
  }

  /** Time within which room that becomes free by itself is as good as room that is freed. */
  private horizonMs({ slackMs }: UrgentStep): number {
    return Math.max(slackMs, this.timing.freeingMs);
  }

  /**
   * Claims the room that is free or becomes free in time for tasks of a step.
   *
   * @returns Number of the tasks that remain.
   */
  private claimExpectedRoom(step: UrgentStep, slots: Map<string, number>): number {
    const { size, priority } = step;
    const limit = this.fleet.limitOf(step.organisation);
    const inMs = this.horizonMs(step);
    let open = step.taskCount;
    for (const [endpoint, maxTasks] of slots) {
      if (open === 0) break;
      const forecast = this.fleet.findRoom(endpoint)?.forecast;
      const fitting = forecast?.countTasks(size, priority, inMs) ?? 0;
      const admitted = fitting > 0 ? limit.countTasks(size, priority, inMs) : 0;
      const count = Math.min(open, maxTasks, fitting, admitted);
      if (!forecast || count === 0) continue;
      forecast.claim(size, priority, count);
      limit.claim(size, priority, count);
      slots.set(endpoint, maxTasks - count);
      open -= count;
    }
    return open;
  }

  /** Returns by how much later than its slack permits the step would find room for a task. */
  private expectLatenessMs(step: UrgentStep, slots: Map<string, number>): number {
    const { size, priority } = step;
    let fitMs = Infinity;
    for (const [endpoint, maxTasks] of slots) {
      const forecast = maxTasks > 0 ? this.fleet.findRoom(endpoint)?.forecast : undefined;
      if (forecast) fitMs = Math.min(fitMs, forecast.nextFitMs(size, priority));
    }
    const limitMs = this.fleet.limitOf(step.organisation).nextFitMs(size, priority);
    return Math.max(fitMs, limitMs) - this.horizonMs(step);
  }

  /**
   * Plans stops, the cheapest endpoints first, until the given number of tasks has room.
   *
   * @returns Whether all of them have.
   */
  private stopForRoom(search: Search, taskCount: number): boolean {
    const choices = new Map<string, Choice>();
    let open = taskCount;
    const evaluate = (endpoint: string): void => {
      const choice = open > 0 ? this.chooseOn(search, endpoint, open) : undefined;
      if (choice) choices.set(endpoint, choice);
      else choices.delete(endpoint);
    };
    for (const endpoint of search.slots.keys()) evaluate(endpoint);
    while (open > 0 && choices.size > 0) {
      const known = findCheapest(choices.values())!;
      // What was planned since may have changed what is needed and permitted.
      evaluate(known.endpoint);
      const choice = choices.get(known.endpoint);
      if (!choice || choice.cost > known.cost) continue;
      const delayed = this.apply(search, choice);
      open -= choice.taskCount;
      evaluate(choice.endpoint);
      // Further runs of a step that is delayed anyway cost less than before.
      for (const endpoint of this.listHosts(search, delayed)) evaluate(endpoint);
    }
    return open === 0;
  }

  /** Plans stops of the organisation's own runs until its limit admits the given tasks. */
  private stopForLimit(search: Search, taskCount: number): void {
    const { slots } = search;
    let open = taskCount;
    while (open > 0) {
      // Room that is free can be used once any run of the organisation has ended.
      const free = this.findFreeEndpoint(search);
      const endpoints = free === undefined ? [...slots.keys()] : [free];
      const choices: Choice[] = [];
      for (const endpoint of endpoints) {
        const choice = this.chooseOn(search, endpoint, open);
        if (choice) choices.push(choice);
      }
      const choice = findCheapest(choices);
      if (!choice) return;
      this.apply(search, choice);
      open -= choice.taskCount;
    }
  }

  private findFreeEndpoint({ step, slots }: Search): string | undefined {
    for (const [endpoint, maxTasks] of slots) {
      if (maxTasks > 0 && this.countFitting(step, endpoint, []) > 0) return endpoint;
    }
    return undefined;
  }

  /** Returns the cheapest runs to stop for tasks on one endpoint. */
  private chooseOn(search: Search, endpoint: string, open: number): Choice | undefined {
    const { step, slots, gain, isForLimit } = search;
    const max = Math.min(open, slots.get(endpoint) ?? 0);
    const room = max > 0 ? this.fleet.findRoom(endpoint) : undefined;
    if (!room) return undefined;
    let best: Choice | undefined;
    for (const { runs, loss, cost } of this.listSets(search, endpoint, room)) {
      const fitting = this.countFitting(step, endpoint, runs);
      const admitted = isForLimit ? this.countAdmitted(step, runs) : fitting;
      const taskCount = Math.min(max, fitting, admitted);
      if (taskCount === 0 || (loss > 0 && loss >= gain)) continue;
      const costPerTask = cost / taskCount;
      if (best && costPerTask >= best.cost) continue;
      best = { endpoint, runs, taskCount, cost: costPerTask };
    }
    return best;
  }

  private listSets(search: Search, endpoint: string, room: EndpointRoom): VictimSet[] {
    const { step, isForLimit } = search;
    const isAnywhere = isForLimit && this.countFitting(step, endpoint, []) > 0;
    const runs = isAnywhere ? this.fleet.listRunsOf(step.organisation) : room.runs;
    const horizonMs = this.horizonMs(step);
    const stoppable = runs.filter(
      (run) =>
        run.priority > step.priority &&
        (!isForLimit || run.organisation === step.organisation) &&
        !this.stopped.has(run.key) &&
        // What ends by itself in time needs no stop.
        run.remainingMs > horizonMs &&
        this.fleet.mayStop([run]),
    );
    const { freeingMs } = this.timing;
    const sets = listVictimSets(stoppable, step, { freeingMs, delayedSteps: this.delayedSteps });
    return sets.filter((set) => set.runs.length === 1 || this.fleet.mayStop(set.runs));
  }

  /** Returns how many tasks of a step fit on an endpoint in time if runs are stopped. */
  private countFitting(step: UrgentStep, endpoint: string, runs: StoppableRun[]): number {
    const { size, priority } = step;
    const forecast = this.fleet.findRoom(endpoint)?.forecast;
    const ended = runs.filter((run) => run.endpoint === endpoint).map((run) => run.size);
    return forecast?.countTasksAfter(size, priority, this.horizonMs(step), ended) ?? 0;
  }

  /** Returns how many tasks of a step its limit admits if runs of the organisation are stopped. */
  private countAdmitted(step: UrgentStep, runs: StoppableRun[]): number {
    const { size, priority, organisation } = step;
    const ended = runs.map((run) => run.size);
    const limit = this.fleet.limitOf(organisation);
    return limit.countTasksAfter(size, priority, this.horizonMs(step), ended);
  }

  /**
   * Adds a choice to the plan.
   *
   * @returns The steps that are delayed by it and were not before.
   */
  private apply({ step, slots, latenessMs, isForLimit }: Search, choice: Choice): Set<string> {
    const { endpoint, runs, taskCount } = choice;
    const { freeingMs } = this.timing;
    const delayed = new Set<string>();
    for (const run of runs) {
      this.stopped.add(run.key);
      if (!this.delayedSteps.has(run.step)) delayed.add(run.step);
      this.delayedSteps.add(run.step);
      this.fleet.recordStop(run);
      this.fleet.findRoom(run.endpoint)?.forecast.setRelease(run.key, run.size, freeingMs);
      this.fleet.limitOf(run.organisation).setRelease(run.key, run.size, freeingMs);
      this.plan.stops.push({ run, step, latenessMs, isForLimit });
    }
    this.fleet.findRoom(endpoint)?.forecast.claim(step.size, step.priority, taskCount);
    this.fleet.limitOf(step.organisation).claim(step.size, step.priority, taskCount);
    slots.set(endpoint, (slots.get(endpoint) ?? 0) - taskCount);
    const local = runs.filter((run) => run.endpoint === endpoint);
    const shares = splitRoom(local, step.size, taskCount);
    for (const awaits of shares) this.plan.holds.push({ endpoint, step, awaits });
    return delayed;
  }

  /** Returns the endpoints that run tasks of certain steps. */
  private listHosts({ slots }: Search, steps: ReadonlySet<string>): string[] {
    if (steps.size === 0) return [];
    return [...slots.keys()].filter((endpoint) =>
      this.fleet.findRoom(endpoint)?.runs.some(({ step }) => steps.has(step)),
    );
  }
}
