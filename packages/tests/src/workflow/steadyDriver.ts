import type {
  ActiveRun,
  EndpointDriver,
  EndpointTarget,
  InspectOrder,
  Inspection,
  OrderResult,
  StartResponse,
} from '@lagoongap/workflow/endpointDriver.js';
import { taskName } from '@lagoongap/workflow/jobSpec.js';
import { listTasks } from '@lagoongap/workflow/readySteps.js';
import type { WorkflowState } from '@lagoongap/workflow/workflowState.js';

/** Endpoints on which all runs of a state are active and never end. */
export class SteadyDriver implements EndpointDriver {
  /** Number of stop orders received. */
  stopCount = 0;
  /** Number of start orders received. */
  startCount = 0;
  private readonly active = new Map<string, ActiveRun[]>();

  constructor(state: WorkflowState) {
    for (const job of state.jobs.values()) {
      for (const { task, record } of listTasks(job)) {
        for (const { run, endpoint } of record.runs) {
          const runs = this.active.get(endpoint) ?? [];
          runs.push({ task: taskName(task), run, checkpoint: '', percent: 100, load: 0 });
          this.active.set(endpoint, runs);
        }
      }
    }
  }

  async start(): Promise<StartResponse> {
    this.startCount += 1;
    return { outcome: 'started', clockMs: Math.floor(performance.now()) };
  }

  async stop(): Promise<boolean> {
    this.stopCount += 1;
    return true;
  }

  async inspect(target: EndpointTarget, order: InspectOrder): Promise<OrderResult<Inspection>> {
    await new Promise((resolve) => {
      setTimeout(resolve, order.waitMs + 1);
    });
    const active = this.active.get(target.id) ?? [];
    return { answer: { clockMs: Math.floor(performance.now()), bornMs: 1, active, ended: [] } };
  }

  async pace(): Promise<boolean> {
    return true;
  }

  disconnect(): void {}

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }
}
