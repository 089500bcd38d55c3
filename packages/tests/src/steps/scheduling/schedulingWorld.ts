import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, AttemptOutcome, WorkloadKind, WorkUnit } from '@lagoongap/model/workload.js';
import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import type {
  Decision,
  EndpointView,
  PreemptDecision,
  RejectDecision,
} from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

import { SchedulerDriver } from './schedulerDriver.js';

const CORE = 1000;
const GIB = 1024;

/** One row of a table; absent columns have defaults. */
export type Row = Readonly<Record<string, string>>;

function readSize(row: Row): Resources {
  return {
    cpuMillis: Number(row.cores ?? 0) * CORE,
    memoryMib: Number(row.gib ?? 0) * GIB,
    accelerators: Number(row.accelerators ?? 0),
    slots: Number(row.slots ?? 0),
  };
}

/** Scheduler with a manual clock and a record of its decisions. */
export class SchedulingWorld {
  readonly driver = new SchedulerDriver(new FairShareScheduler(createSeededRandom(7)));
  readonly placed: Attempt[] = [];
  readonly rejected: RejectDecision[] = [];
  readonly preempted: PreemptDecision[] = [];
  nowMs = 0;
  private config: ClusterConfig = createEmptyConfig();

  addEndpoint(row: Row): void {
    const count = Number(row.count ?? 1);
    for (let i = 0; i < count; i++) {
      const view: EndpointView = {
        id: count > 1 ? `${row.id}${i + 1}` : row.id!,
        kind: row.kind === 'runner' ? 'runner' : 'worker',
        url: '',
        size: readSize(row),
        rack: row.rack ?? 'r1',
        dataCentre: row.dc ?? 'd1',
        works: (row.works ?? 'curves').split(' '),
        speed: Number(row.speed ?? 1),
        capabilities: (row.can ?? 'checkpoint throttle stop').split(' ').filter(Boolean) as never,
        state: (row.state as EndpointView['state']) ?? 'ready',
        ejected: row.ejected === 'yes',
      };
      this.driver.upsertEndpoint(view);
    }
  }

  setTeam(row: Row): void {
    const limit = {
      ...(row.tasks && { tasks: Number(row.tasks) }),
      ...(row.cores && { cpuMillis: Number(row.cores) * CORE }),
    };
    const name = row.name!;
    const teams = { ...this.config.teams, [name]: { name, share: Number(row.share ?? 1), limit } };
    this.configure({ ...this.config, teams });
  }

  grant(works: readonly string[]): void {
    const rule = { name: 'all', match: {}, works: [...works] };
    this.configure({ ...this.config, endpointRules: { all: rule } });
  }

  enqueue(row: Row): void {
    const count = Number(row.count ?? 1);
    for (let i = 0; i < count; i++) {
      const kind = (row.kind ?? 'batch') as WorkloadKind;
      const unit: WorkUnit = {
        id: count > 1 ? `${row.id}${i + 1}` : row.id!,
        kind,
        team: row.team!,
        queue: row.queue ?? kind,
        work: row.work ?? 'curves',
        priority: Number(row.priority ?? 100),
        size: readSize(row),
        indexes: Array.from({ length: Number(row.tasks ?? 1) }, (_, k) => k),
        enqueuedAtMs: this.nowMs,
        deadlineAtMs: row.deadline ? this.nowMs + Number(row.deadline) : undefined,
        excluded: (row.excluded ?? '').split(' ').filter(Boolean),
      };
      this.driver.enqueue(unit);
    }
  }

  decide(maxPlacements = 1000): Decision[] {
    const decisions = this.driver.decide(this.nowMs, maxPlacements);
    for (const decision of decisions) {
      if (decision.type === 'place') this.placed.push(...decision.attempts);
      if (decision.type === 'reject') this.rejected.push(decision);
      if (decision.type === 'preempt') this.preempted.push(decision);
    }
    return decisions;
  }

  /** Runs a scheduling cycle every `stepMs` until `durationMs` have passed. */
  run(durationMs: number, stepMs: number, eachStep: () => void = () => {}): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs = Math.min(endMs, this.nowMs + stepMs);
      eachStep();
      this.decide();
    }
  }

  /** Returns the attempts of a unit that have not been released. */
  listRunning(unitId: string): Attempt[] {
    const active = [...this.driver.checker.active.values()].map(({ attempt }) => attempt);
    return active.filter((attempt) => attempt.unitId === unitId);
  }

  release(unitId: string, outcome: AttemptOutcome): void {
    for (const { id } of this.listRunning(unitId)) this.driver.release(id, outcome, this.nowMs);
  }

  observe(unitId: string, cores: number, gib: number): void {
    const usage = { ...NO_RESOURCES, cpuMillis: cores * CORE, memoryMib: gib * GIB };
    for (const { id } of this.listRunning(unitId)) this.driver.observe(id, usage, this.nowMs);
  }

  private configure(config: ClusterConfig): void {
    this.config = { ...config, number: config.number + 1 };
    this.driver.setConfiguration(this.config);
  }
}
