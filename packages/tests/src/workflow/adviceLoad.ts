import type { AdvicePolicy } from '@lagoongap/workflow/cellConfig.js';

import { SeededRandom } from '../consensus/seededRandom.js';
import type { SimulatedAdvisor } from './simulatedAdvisor.js';
import { createStep, type WorkflowWorld } from './workflowWorld.js';

/** Class of work that a load submits; its name is the queue and the prefix of the job ids. */
export interface LoadClass {
  name: string;
  priority: number;
  advice: AdvicePolicy;
  suitableShare: number;
  jobsPerSecond: number;
  /** Jobs that arrive at once. */
  burst?: number;
  taskCount: number;
  cores: number;
  durationMs: number;
  stretch: number;
  targetMs: number;
}

interface LoadJob {
  name: string;
  submittedMs: number;
  /** Monotonic times of the starts. */
  startsMs: number[];
  taskCount: number;
  /** Time from the submission until the last start in which the job can complete in time. */
  maxWaitMs: number;
}

/** Result for one class. */
export interface LoadResult {
  jobs: number;
  /** Share of the jobs whose last task started in time. */
  inTime: number;
  /** Times from submission to the last start; Infinity if a task has not started. */
  waitsMs: number[];
}

const TICK_MS = 2;

/** Submits jobs of several classes at random times and measures how long their starts take. */
export class AdviceLoad {
  private readonly world: WorkflowWorld;
  private readonly classes: readonly LoadClass[];
  private readonly jobs: LoadJob[] = [];
  private readonly random: SeededRandom;

  constructor(
    world: WorkflowWorld,
    advisor: SimulatedAdvisor,
    classes: readonly LoadClass[],
    seed: number,
  ) {
    this.world = world;
    this.classes = classes;
    this.random = new SeededRandom(seed);
    for (const { name, priority, advice, suitableShare, stretch, targetMs } of classes) {
      world.addQueue(name, { priority, advice, stretch, targetMs });
      advisor.policies.set(name, advice);
      advisor.suitableShares.set(name, suitableShare);
    }
    const jobs = new Map<string, LoadJob>();
    world.driver.onStarted = (_, { payload }) => {
      const job = jobs.get(payload) ?? this.jobs.find(({ name }) => name === payload);
      if (job) jobs.set(payload, job);
      job?.startsMs.push(performance.now());
    };
  }

  /** Submits jobs for a time, with the keys of the organisations in turn. */
  async run(seconds: number, keys: readonly string[], onTick?: () => void): Promise<void> {
    const endMs = performance.now() + seconds * 1000;
    const nextMs = new Map(this.classes.map((it) => [it, performance.now() + this.pauseMs(it)]));
    while (performance.now() < endMs) {
      for (const it of this.classes) {
        while (nextMs.get(it)! <= performance.now()) {
          for (let i = 0; i < (it.burst ?? 1); i += 1) this.submit(it, keys);
          nextMs.set(it, nextMs.get(it)! + this.pauseMs(it));
        }
      }
      onTick?.();
      await this.world.advance(TICK_MS);
    }
  }

  /** Returns the result of a class for the jobs that were submitted before a time. */
  resultOf(name: string, beforeMs = Infinity): LoadResult {
    const jobs = this.jobs.filter(
      (job) => job.name.startsWith(`${name}-`) && job.submittedMs < beforeMs,
    );
    const waitsMs = jobs
      .map(({ startsMs, taskCount, submittedMs }) =>
        startsMs.length < taskCount ? Infinity : startsMs[taskCount - 1]! - submittedMs,
      )
      .sort((a, b) => a - b);
    const inTime = jobs.filter(({ startsMs, taskCount, submittedMs, maxWaitMs }) => {
      const lastMs = startsMs[taskCount - 1];
      return lastMs !== undefined && lastMs - submittedMs <= maxWaitMs;
    });
    return { jobs: jobs.length, inTime: inTime.length / Math.max(1, jobs.length), waitsMs };
  }

  private pauseMs({ jobsPerSecond, burst = 1 }: LoadClass): number {
    return (-Math.log(1 - this.random.next()) * 1000 * burst) / jobsPerSecond;
  }

  private submit(it: LoadClass, keys: readonly string[]): void {
    const { taskCount, cores, durationMs, stretch, targetMs } = it;
    const name = `${it.name}-${this.jobs.length}`;
    const key = keys[Math.floor(this.random.next() * keys.length)]!;
    const maxWaitMs = durationMs * (stretch - 1) + targetMs;
    this.jobs.push({ name, submittedMs: performance.now(), startsMs: [], taskCount, maxWaitMs });
    this.world.driver.durationsMs.set(name, durationMs);
    const step = createStep({ taskCount, cores, estimateMs: durationMs });
    const spec = { payload: name, steps: [step] };
    this.world.session.jobs
      .handle({ host: 'h', path: `/${it.name}/${name}`, key, operation: 'submit', spec })
      .catch(() => undefined);
  }
}
