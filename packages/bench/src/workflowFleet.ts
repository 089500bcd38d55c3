import type {
  ActiveRun,
  EndpointDriver,
  EndpointTarget,
  EndReport,
  InspectOrder,
  Inspection,
  OrderResult,
  RunOrder,
  StartOrder,
  StartResponse,
} from '@lagoongap/workflow/endpointDriver.js';

/** Time from an order to the arrival of its response. */
const ROUND_TRIP_MS = 3;

/** Runs and reports of one endpoint. */
interface SimulatedEndpoint {
  runs: Map<string, ActiveRun>;
  reports: EndReport[];
  nextReport: number;
  wake: (() => void) | undefined;
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Endpoints in the same process that execute every order; payloads hold the task duration. */
export class WorkflowFleet implements EndpointDriver {
  startCount = 0;
  inspectionCount = 0;
  endCount = 0;
  private readonly endpoints = new Map<string, SimulatedEndpoint>();

  async start({ id }: EndpointTarget, { task, run, payload }: StartOrder): Promise<StartResponse> {
    this.startCount += 1;
    await delay(ROUND_TRIP_MS);
    const endpoint = this.find(id);
    const key = `${task}:${run}`;
    endpoint.runs.set(key, { task, run, checkpoint: '', percent: 100, load: 0 });
    setTimeout(() => this.end(endpoint, key, 'done'), Number(payload));
    return { outcome: 'started', clockMs: Math.floor(performance.now()) };
  }

  async stop({ id }: EndpointTarget, { task, run }: RunOrder): Promise<boolean> {
    await delay(ROUND_TRIP_MS);
    this.end(this.find(id), `${task}:${run}`, 'stopped');
    return true;
  }

  async inspect({ id }: EndpointTarget, order: InspectOrder): Promise<OrderResult<Inspection>> {
    this.inspectionCount += 1;
    const endpoint = this.find(id);
    endpoint.reports = endpoint.reports.filter(({ number }) => number > order.ackedReport);
    if (endpoint.reports.length === 0 && order.waitMs > 0) {
      await WorkflowFleet.waitForEnd(endpoint, order.waitMs);
    }
    await delay(ROUND_TRIP_MS);
    const answer: Inspection = {
      clockMs: Math.floor(performance.now()),
      bornMs: 1,
      active: [...endpoint.runs.values()],
      ended: [...endpoint.reports],
    };
    return { answer };
  }

  pace(): Promise<boolean> {
    return Promise.resolve(true);
  }

  disconnect(): void {}

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  private find(id: string): SimulatedEndpoint {
    let endpoint = this.endpoints.get(id);
    if (!endpoint) {
      endpoint = { runs: new Map(), reports: [], nextReport: 1, wake: undefined };
      this.endpoints.set(id, endpoint);
    }
    return endpoint;
  }

  private end(endpoint: SimulatedEndpoint, key: string, outcome: 'done' | 'stopped'): void {
    const active = endpoint.runs.get(key);
    if (!active) return;
    this.endCount += 1;
    endpoint.runs.delete(key);
    const { task, run } = active;
    endpoint.reports.push({ number: endpoint.nextReport, task, run, outcome, checkpoint: '' });
    endpoint.nextReport += 1;
    endpoint.wake?.();
  }

  private static async waitForEnd(endpoint: SimulatedEndpoint, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      endpoint.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    endpoint.wake = undefined;
  }
}
