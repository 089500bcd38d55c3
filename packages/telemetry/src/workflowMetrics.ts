import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Bucket bounds of the latency histograms. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

const MS_PER_SECOND = 1000;

/** Records the metrics of the workflow layer and its gateways; durations are in milliseconds. */
export interface WorkflowMetricsRecorder {
  countCall(operation: string, answer: string, durationMs: number): void;
  countRunOrdered(waitedMs: number): void;
  countRunEnded(outcome: string): void;
  countJobEnded(status: string, durationMs: number): void;
  countAdvice(isAnswered: boolean, durationMs: number): void;
  countCommit(durationMs: number): void;
  countOrder(order: string, outcome: string, durationMs: number): void;
  countLeadership(): void;
  setEndpoints(available: number, known: number): void;
  setConfigVersion(version: number): void;
}

/** Discards all metrics. */
export const NOOP_METRICS_RECORDER: WorkflowMetricsRecorder = {
  countCall() {},
  countRunOrdered() {},
  countRunEnded() {},
  countJobEnded() {},
  countAdvice() {},
  countCommit() {},
  countOrder() {},
  countLeadership() {},
  setEndpoints() {},
  setConfigVersion() {},
};

/** Workflow metrics in a separate registry. */
export class WorkflowMetrics implements WorkflowMetricsRecorder {
  readonly registry = new Registry();
  private readonly calls = this.createHistogram(
    'lagoongap_call_seconds',
    'Time from a call of a caller to its answer',
    ['operation', 'answer'],
  );

  private readonly taskWaits = this.createHistogram(
    'lagoongap_task_wait_seconds',
    'Time from the moment a job (or its occurrence) is due to the order of a run',
    [],
  );

  private readonly endedRuns = this.createCounter(
    'lagoongap_runs_ended_total',
    'Runs of tasks that ended, by outcome',
    ['outcome'],
  );

  private readonly jobs = this.createHistogram(
    'lagoongap_job_seconds',
    'Time from the acceptance of a job to its end',
    ['status'],
  );

  private readonly advice = this.createHistogram(
    'lagoongap_advice_seconds',
    'Time from a question for the advisor to its answer',
    ['answered'],
  );

  private readonly commits = this.createHistogram(
    'lagoongap_workflow_commit_seconds',
    'Time from the proposal of a change to its commit',
    [],
  );

  private readonly orders = this.createHistogram(
    'lagoongap_order_seconds',
    'Time from an order to an endpoint to its answer',
    ['order', 'outcome'],
  );

  private readonly leaderships = this.createCounter(
    'lagoongap_leaderships_total',
    'Leaderships that began on this instance',
    [],
  );

  private readonly endpoints = this.createGauge(
    'lagoongap_workflow_endpoints',
    'Endpoints that the leader knows',
    ['state'],
  );

  private readonly configVersion = this.createGauge(
    'lagoongap_config_version',
    'Version of the configuration in force',
    [],
  );

  private readonly droppedLogLines = this.createGauge(
    'lagoongap_log_lines_left_out',
    'Log lines left out because their reader was slow',
    [],
  );

  countCall(operation: string, answer: string, durationMs: number): void {
    this.calls.observe({ operation, answer }, durationMs / MS_PER_SECOND);
  }

  countRunOrdered(waitedMs: number): void {
    this.taskWaits.observe(Math.max(0, waitedMs) / MS_PER_SECOND);
  }

  countRunEnded(outcome: string): void {
    this.endedRuns.inc({ outcome });
  }

  countJobEnded(status: string, durationMs: number): void {
    this.jobs.observe({ status }, Math.max(0, durationMs) / MS_PER_SECOND);
  }

  countAdvice(isAnswered: boolean, durationMs: number): void {
    this.advice.observe({ answered: String(isAnswered) }, durationMs / MS_PER_SECOND);
  }

  countCommit(durationMs: number): void {
    this.commits.observe(durationMs / MS_PER_SECOND);
  }

  countOrder(order: string, outcome: string, durationMs: number): void {
    this.orders.observe({ order, outcome }, durationMs / MS_PER_SECOND);
  }

  countLeadership(): void {
    this.leaderships.inc();
  }

  setEndpoints(available: number, known: number): void {
    this.endpoints.set({ state: 'available' }, available);
    this.endpoints.set({ state: 'known' }, known);
  }

  setConfigVersion(version: number): void {
    this.configVersion.set(version);
  }

  setDroppedLogLines(count: number): void {
    this.droppedLogLines.set(count);
  }

  private createHistogram(name: string, help: string, labelNames: string[]): Histogram {
    const registers = [this.registry];
    return new Histogram({ name, help, labelNames, buckets: LATENCY_BUCKETS_SECONDS, registers });
  }

  private createCounter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name, help, labelNames, registers: [this.registry] });
  }

  private createGauge(name: string, help: string, labelNames: string[]): Gauge {
    return new Gauge({ name, help, labelNames, registers: [this.registry] });
  }
}
