import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { StepSpec } from '@lagoongap/workflow/jobSpec.js';
import type { WorkflowCommand } from '@lagoongap/workflow/workflowCommand.js';
import { WorkflowState } from '@lagoongap/workflow/workflowState.js';

import { createStep } from './workflowWorld.js';

/** Size of the state that a new leader takes over. */
export interface TakeoverSize {
  endpoints: number;
  openJobs: number;
  endedJobs: number;
  /** Runs of the open jobs. */
  runs: number;
}

const STEPS_PER_JOB = 3;
const TASKS_PER_ENDED_STEP = 4;
const CORE_CPU_MILLIS = 1000;

function createSteps(taskCount: number): StepSpec[] {
  return Array.from({ length: STEPS_PER_JOB }, (_, step) =>
    createStep({ taskCount, dependsOn: step === 0 ? [] : [step - 1] }),
  );
}

/** Fills a state with commands, as a former leader would have committed them. */
export class TakeoverState {
  readonly state = new WorkflowState();
  private readonly size: TakeoverSize;
  private index = 0;

  constructor(size: TakeoverSize) {
    this.size = size;
    this.apply({ type: 'configure', version: 1, document: 'config' });
    for (let i = 0; i < size.endpoints; i += 1) this.addEndpoint(`w${i}`);
    for (let i = 0; i < size.endedJobs; i += 1) this.addEndedJob(`ended${i}`);
    for (let i = 0; i < size.openJobs; i += 1) this.addOpenJob(`open${i}`);
  }

  private apply(command: WorkflowCommand): void {
    this.index += 1;
    this.state.apply({ index: this.index, term: 1, command });
  }

  private addEndpoint(id: string): void {
    const capacity = { ...NO_RESOURCES, cpuMillis: 32 * CORE_CPU_MILLIS, memoryMib: 131_072 };
    this.apply({
      type: 'register',
      endpoint: {
        id,
        address: `${id}:1`,
        dataCentre: 'd',
        pool: 'p',
        instance: `m-${id}`,
        bornMs: 1,
        capacity,
        kind: 'a',
        rack: 'r1',
        labels: ['a', 'r1'],
        isDraining: false,
      },
    });
  }

  private submit(id: string, steps: StepSpec[]): void {
    const spec = { payload: 'x'.repeat(200), steps };
    const target = { queue: 'q', organisation: 'o', maxAttempts: 3 };
    this.apply({ type: 'submit', id, ...target, acceptedMs: Date.now(), spec });
  }

  private addEndedJob(id: string): void {
    const taskCount = TASKS_PER_ENDED_STEP;
    this.submit(id, createSteps(taskCount));
    for (let step = 0; step < STEPS_PER_JOB; step += 1) {
      const tasks = Array.from({ length: taskCount }, (_, index) => ({
        jobId: id,
        occurrence: 0,
        step,
        index,
      }));
      this.apply({ type: 'start', runs: tasks.map((task) => ({ task, run: 1, endpoint: 'w0' })) });
      const runs = tasks.map((task) => ({ task, run: 1, outcome: 'done' as const }));
      this.apply({ type: 'end', runs });
    }
  }

  private addOpenJob(id: string): void {
    const { runs, openJobs, endpoints } = this.size;
    const taskCount = Math.ceil(runs / openJobs);
    this.submit(id, createSteps(taskCount));
    const started = Array.from({ length: taskCount }, (_, index) => ({
      task: { jobId: id, occurrence: 0, step: 0, index },
      run: 1,
      endpoint: `w${(this.index * taskCount + index) % endpoints}`,
    }));
    this.apply({ type: 'start', runs: started });
  }
}
