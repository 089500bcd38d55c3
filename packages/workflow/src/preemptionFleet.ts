import { subtractResources, type Resources } from '@lagoongap/model/resources.js';

import type { AgentRun } from './agentRun.js';
import { CapacityForecast } from './capacityForecast.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import { isSuspected } from './crashRecord.js';
import { CpuSums } from './cpuSums.js';
import type { DurationForecast } from './durationForecast.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { parseTaskName, stepName, type StepSpec } from './jobSpec.js';
import { slackMs, targetDurationMs } from './jobSlack.js';
import { dueTimeMs } from './occurrenceSchedule.js';
import type { PreemptionHistory } from './preemptionHistory.js';
import type {
  EndpointRoom,
  PreemptionFleet,
  PreemptionTiming,
  StoppableRun,
} from './preemptionTypes.js';
import type { Quarantine } from './quarantine.js';
import type { ReadyStep } from './readySteps.js';
import type { RoomHolds } from './roomHolds.js';
import { countedSize, type Reservation, type RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { ActiveStop, StopTracker } from './stopTracker.js';
import type { JobRecord } from './workflowRecords.js';

/** Dependencies of a {@link RunningFleet}. */
export interface RunningFleetOptions {
  context: SessionContext;
  ledger: RunLedger;
  holds: RoomHolds;
  directory: EndpointDirectory;
  durations: DurationForecast;
  quarantine: Quarantine;
  history: PreemptionHistory;
  stops: StopTracker;
}

/** Largest share of the processor time of a pool that is being freed at a time. */
const MAX_POOL_SHARE = 0.2;

/** Largest share of the running work of an organisation that is being stopped at a time. */
const MAX_ORGANISATION_SHARE = 0.3;

/**
 * Expected remaining time of a run that has exceeded its estimate, as a share of the time that it
 * has run: submitted estimates are wrong by a factor of two and more.
 */
const OVERRUN_SHARE = 0.5;

/** A run and the time after which it is expected to end. */
interface ExpectedEnd {
  reservation: Reservation;
  inMs: number;
}

/** Returns whether tasks of a step may be stopped at all. */
function isStoppable(spec: StepSpec): boolean {
  const { isCheckpointing, isGang, isService, latencyTargetMs, fillsIdleCapacity } = spec;
  return isCheckpointing && !isGang && !isService && latencyTargetMs === 0 && !fillsIdleCapacity;
}

/** The running work of the fleet at the time of one scheduling cycle. */
export class RunningFleet implements PreemptionFleet {
  private readonly opts: RunningFleetOptions;
  private readonly config: CellConfig;
  private readonly timing: PreemptionTiming;
  private readonly nowMs = performance.now();
  private readonly wallMs = Date.now();
  private readonly queues: ReadonlyMap<string, QueuePolicy>;
  private readonly rooms = new Map<string, EndpointRoom | undefined>();
  private readonly limits = new Map<string, CapacityForecast>();
  private readonly runsByOrganisation = new Map<string, StoppableRun[]>();
  private ends: Map<string, ExpectedEnd[]> | undefined;
  private readonly poolCapacities = new Map<string, number>();
  private readonly activeStops: ReadonlyMap<string, ActiveStop>;
  /** Processor time of runs that are being stopped, by pool and by organisation. */
  private readonly freeing = { pools: new CpuSums(), organisations: new CpuSums() };

  constructor(opts: RunningFleetOptions, config: CellConfig, timing: PreemptionTiming) {
    this.opts = opts;
    this.config = config;
    this.timing = timing;
    this.queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    const stops = opts.stops.list();
    this.activeStops = new Map(stops.map((stop) => [stop.run.key, stop]));
    for (const { run, sinceMs } of stops) {
      // An endpoint that does not stop its runs must not keep others from doing so.
      if (this.nowMs - sinceMs < timing.holdMs) this.countFreeing(run);
    }
  }

  findRoom(endpoint: string): EndpointRoom | undefined {
    if (!this.rooms.has(endpoint)) this.rooms.set(endpoint, this.readRoom(endpoint));
    return this.rooms.get(endpoint);
  }

  limitOf(organisation: string): CapacityForecast {
    let forecast = this.limits.get(organisation);
    if (!forecast) {
      forecast = this.readLimit(organisation);
      this.limits.set(organisation, forecast);
    }
    return forecast;
  }

  listRunsOf(organisation: string): StoppableRun[] {
    let runs = this.runsByOrganisation.get(organisation);
    if (!runs) {
      const agents = this.opts.directory
        .list()
        .filter((it) => this.opts.directory.isResponsive(it));
      const rooms = agents.flatMap(({ id }) => this.findRoom(id) ?? []);
      runs = rooms.flatMap((room) => room.runs.filter((run) => run.organisation === organisation));
      this.runsByOrganisation.set(organisation, runs);
    }
    return runs;
  }

  mayStop(runs: readonly StoppableRun[]): boolean {
    const { pools, organisations } = this.freeing;
    const isWithin = (
      freeingCpu: number,
      maxCpu: number,
      isCounted: (run: StoppableRun) => boolean,
    ): boolean => {
      // A single run may be larger than the share.
      if (freeingCpu === 0 && runs.length === 1) return true;
      let cpu = freeingCpu;
      for (const run of runs) if (isCounted(run)) cpu += run.size.cpuMillis;
      return cpu <= maxCpu;
    };
    return runs.every(({ pool, organisation }) => {
      const maxOfPool = this.capacityOfPool(pool) * MAX_POOL_SHARE;
      const running = this.opts.ledger.usedBy(organisation).cpuMillis;
      const maxOfOrganisation = running * MAX_ORGANISATION_SHARE;
      return (
        isWithin(pools.get(pool), maxOfPool, (run) => run.pool === pool) &&
        isWithin(
          organisations.get(organisation),
          maxOfOrganisation,
          (run) => run.organisation === organisation,
        )
      );
    });
  }

  recordStop(run: StoppableRun): void {
    this.countFreeing(run);
  }

  private countFreeing({ size, organisation, pool }: StoppableRun): void {
    this.freeing.pools.add(pool, size.cpuMillis);
    this.freeing.organisations.add(organisation, size.cpuMillis);
  }

  private capacityOfPool(pool: string): number {
    let total = this.poolCapacities.get(pool);
    if (total === undefined) {
      const agents = this.opts.directory.listAvailable(pool);
      total = agents.reduce((sum, { record }) => sum + record.capacity.cpuMillis, 0);
      this.poolCapacities.set(pool, total);
    }
    return total;
  }

  private readRoom(endpoint: string): EndpointRoom | undefined {
    const { directory, ledger, holds } = this.opts;
    const agent = directory.find(endpoint);
    if (!agent) return undefined;
    const { capacity } = agent.record;
    const forecast = new CapacityForecast(subtractResources(capacity, ledger.usedOn(endpoint)));
    for (const hold of holds.listOn(endpoint, this.nowMs)) forecast.claim(hold.size, hold.priority);
    const runs: StoppableRun[] = [];
    let isStopLate = false;
    for (const reservation of ledger.runsOn(endpoint).values()) {
      const remainingMs = this.remainingMs(reservation, agent);
      forecast.setRelease(reservation.key, countedSize(reservation), remainingMs);
      const isStopping = this.activeStops.has(reservation.key);
      if (isStopping && remainingMs === Infinity) isStopLate = true;
      const run = isStopping ? undefined : this.describeStoppable(reservation, agent, remainingMs);
      if (run) runs.push(run);
    }
    // Where a stop is overdue, further ones would free nothing in time either.
    return { forecast, runs: isStopLate ? [] : runs };
  }

  private readLimit(organisation: string): CapacityForecast {
    const { ledger, holds } = this.opts;
    const policy = this.config.organisations.find(({ name }) => name === organisation);
    const toBound = (max: number | undefined): number => max || Infinity;
    const limit: Resources = {
      cpuMillis: toBound(policy?.limit.cpuMillis),
      memoryMib: toBound(policy?.limit.memoryMib),
      accelerators: toBound(policy?.limit.accelerators),
      slots: Infinity,
    };
    const forecast = new CapacityForecast(subtractResources(limit, ledger.usedBy(organisation)));
    for (const hold of holds.list(this.nowMs)) {
      if (hold.organisation === organisation) forecast.claim(hold.size, hold.priority);
    }
    const isLimited = Object.values(policy?.limit ?? {}).some((max) => max > 0);
    const runs = isLimited ? this.listEnds().get(organisation) : undefined;
    for (const { reservation, inMs } of runs ?? []) {
      forecast.setRelease(reservation.key, reservation.size, inMs);
    }
    return forecast;
  }

  /** Returns the expected ends of all runs, by organisation. */
  private listEnds(): Map<string, ExpectedEnd[]> {
    if (this.ends) return this.ends;
    this.ends = new Map<string, ExpectedEnd[]>();
    for (const agent of this.opts.directory.list()) {
      for (const reservation of this.opts.ledger.runsOn(agent.id).values()) {
        const inMs = this.remainingMs(reservation, agent);
        const known = this.ends.get(reservation.organisation);
        if (known) known.push({ reservation, inMs });
        else this.ends.set(reservation.organisation, [{ reservation, inMs }]);
      }
    }
    return this.ends;
  }

  /** Returns the time after which a run is expected to end; Infinity if it is not known. */
  private remainingMs({ key }: Reservation, agent: EndpointAgent): number {
    const run = agent.runs.get(key);
    const stop = this.activeStops.get(key);
    if (stop) {
      const leftMs = stop.sinceMs + this.timing.freeingMs - this.nowMs;
      return leftMs > 0 ? leftMs : Infinity;
    }
    if (!run) return this.isEnding(key) ? 0 : Infinity;
    const { state } = this.opts.context;
    const job = state.jobs.get(run.task.jobId);
    const spec = state.findSpec(run.task);
    if (!job || !spec || spec.isService || run.phase !== 'running') return Infinity;
    if (!this.opts.directory.isResponsive(agent)) return Infinity;
    const elapsedMs = this.elapsedMs(run);
    const { id, record } = agent;
    const { durations } = this.opts;
    const workMs = durations.reader(this.describeStep(job, run, spec), run.task.step);
    const expectedMs = workMs * durations.durationFactor(id, record.kind);
    return elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs * OVERRUN_SHARE;
  }

  /** Returns whether a run that its endpoint no longer has awaits the commit of its end. */
  private isEnding(key: string): boolean {
    const position = key.lastIndexOf(':');
    const task = parseTaskName(key.slice(0, position));
    const record = task && this.opts.context.state.findTask(task);
    // A planned start is not in the state before its commit.
    return record?.runs.some(({ run }) => run === Number(key.slice(position + 1))) ?? false;
  }

  private elapsedMs({ confirmedMs, orderedMs }: AgentRun): number {
    return this.nowMs - (confirmedMs ?? orderedMs);
  }

  /** Describes a run if it may be stopped. */
  private describeStoppable(
    { key, organisation, size }: Reservation,
    agent: EndpointAgent,
    remainingMs: number,
  ): StoppableRun | undefined {
    const { context, durations, quarantine, history } = this.opts;
    const { state, timing } = context;
    const run = agent.runs.get(key);
    if (!run || run.phase !== 'running' || run.isStopping || run.isStopped) return undefined;
    const job = state.jobs.get(run.task.jobId);
    const spec = state.findSpec(run.task);
    const record = state.findTask(run.task);
    const queue = job && this.queues.get(job.queue);
    if (job?.status !== 'open' || !spec || !record || !queue || !isStoppable(spec))
      return undefined;
    if (record.isDone || record.runs.length !== 1) return undefined;
    if (isSuspected(record.crashes) || quarantine.isOnTrial(key)) return undefined;
    const requiredMs = history.requiredWorkMs(run.name, timing.checkpointMs, this.nowMs);
    const elapsedMs = this.elapsedMs(run);
    if (elapsedMs < requiredMs) return undefined;
    // A run that ends about as soon as its task could resume gains nothing for anyone.
    if (remainingMs <= this.timing.freeingMs + timing.restoreMs) return undefined;
    const step = this.describeStep(job, run, spec);
    const { reader } = durations;
    const workMs = reader(step, step.step);
    return {
      key,
      step: step.name,
      endpoint: agent.id,
      pool: agent.record.pool,
      organisation,
      priority: queue.priority,
      size,
      remainingMs,
      slackMs: slackMs(step, queue, this.wallMs, reader) + Math.min(elapsedMs, workMs),
      targetMs: targetDurationMs(step, queue, reader),
      // A ticket of the first start has expired by then.
      restartMs: timing.restoreMs + (queue.advice?.decideMs ?? 0),
      preemptions: history.countStops(run.name, this.nowMs),
    };
  }

  private describeStep(job: JobRecord, { task }: AgentRun, spec: StepSpec): ReadyStep {
    const { occurrence, step, index } = task;
    const name = stepName(job.id, occurrence, step);
    const dueMs = dueTimeMs(job, occurrence);
    return { name, job, occurrence, step, spec, waiting: [index], dueMs };
  }
}
