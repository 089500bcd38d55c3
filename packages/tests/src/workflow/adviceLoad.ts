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

const TICK_MS = 2;

/** Submits jobs of several classes at random times, the same ones for the same seed. */
export class AdviceLoad {
  private readonly world: WorkflowWorld;
  private readonly classes: readonly LoadClass[];
  private jobCount = 0;
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
  }

  /** Submits jobs for a time, each with one of the keys. */
  async run(seconds: number, keys: readonly string[]): Promise<void> {
    const endMs = performance.now() + seconds * 1000;
    const nextMs = new Map(this.classes.map((it) => [it, performance.now() + this.pauseMs(it)]));
    while (performance.now() < endMs) {
      for (const it of this.classes) {
        while (nextMs.get(it)! <= performance.now()) {
          for (let i = 0; i < (it.burst ?? 1); i += 1) this.submit(it, keys);
          nextMs.set(it, nextMs.get(it)! + this.pauseMs(it));
        }
      }
      await this.world.advance(TICK_MS);
    }
  }

  private pauseMs({ jobsPerSecond, burst = 1 }: LoadClass): number {
    return (-Math.log(1 - this.random.next()) * 1000 * burst) / jobsPerSecond;
  }

  private submit(it: LoadClass, keys: readonly string[]): void {
    const { taskCount, cores, durationMs } = it;
    const name = `${it.name}-${this.jobCount}`;
    this.jobCount += 1;
    const key = keys[Math.floor(this.random.next() * keys.length)]!;
    this.world.driver.durationsMs.set(name, durationMs);
    const step = createStep({ taskCount, cores, estimateMs: durationMs });
    const spec = { payload: name, steps: [step] };
    this.world.session.jobs
      .handle({ host: 'h', path: `/${it.name}/${name}`, key, operation: 'submit', spec })
      .catch(() => undefined);
  }
}
