import { delay } from '@lagoongap/model/delay.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import { Agent, request } from 'undici';

import { createConfig } from '../platform/documents.js';
import type { CallOutcome, SoakHistory, SoakJob, SoakJobKind } from './soakHistory.js';

const HOST = 'jobs.example';
const CALLER_KEY = 'key-1';
const JOB_PATH_PREFIX = '/first/';
const CALL_TIMEOUT_MS = 3500;
const RETRY_INTERVAL_MS = 200;
const MAX_TRIES = 6;
const JOB_INTERVAL_MS = 60;
const CONFIG_INTERVAL_MS = 700;
const CANCELLATION_PROBABILITY = 0.1;

/** Probability that a caller does not wait for the response to a submission until its time-out. */
const IMPATIENCE_PROBABILITY = 0.2;
const MAX_IMPATIENT_MS = 200;

/** Probability that a caller cancels instead of repeating a submission without an outcome. */
const WITHDRAWAL_PROBABILITY = 0.3;
const MAX_TASKS_PER_STEP = 6;
const CPU_MILLIS = 2000;
const ROLL_CALL_CPU_MILLIS = 500;

/** Number of submissions of services, in addition to the one with a task on each endpoint. */
const MAX_SERVICES = 3;
const SERVICE_PROBABILITY = 0.1;
const MAX_SERVICE_TASKS = 3;
const ID_DIGITS = 16;
const STATUS_OK = 200;
const STATUS_GONE = 410;
const REFUSAL_STATUSES = [429, 503];

/** Idle time after which a client closes a connection, longer than a soak. */
const CONNECTION_IDLE_MS = 600_000;
const CONNECTIONS_PER_SERVER = 8;

/** Load of callers and an operator that continues while faults are injected. */
export class SoakLoad {
  private readonly history: SoakHistory;
  private readonly callers: () => string[];
  private readonly controls: () => string[];
  private readonly random: () => number;
  private readonly open = new Set<Promise<void>>();
  /** Clients keep using open connections until the server has closed them or is gone. */
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_SERVER,
    keepAliveTimeout: CONNECTION_IDLE_MS,
    keepAliveMaxTimeout: CONNECTION_IDLE_MS,
  });

  private version = 0;
  private jobCount = 0;
  private serviceCount = 0;

  constructor(
    seed: number,
    history: SoakHistory,
    callers: () => string[],
    controls: () => string[],
  ) {
    this.random = createSeededRandom(seed);
    this.history = history;
    this.callers = callers;
    this.controls = controls;
  }

  /** Sends a new configuration until it is acknowledged. */
  async updateConfig(): Promise<void> {
    this.version += 1 + Math.floor(this.random() * 3);
    const { version } = this;
    const document = JSON.stringify(createConfig(version));
    this.history.recordConfigSent(version, document);
    for (let tries = 0; ; tries += 1) {
      const response = await this.callControl('PUT', tries, document);
      if (response?.code === STATUS_OK) break;
      await delay(RETRY_INTERVAL_MS);
    }
    this.history.recordConfigAcknowledged(version);
  }

  /** Submits a service with one task on each endpoint, which needs all of them to be in use. */
  submitRollCall(endpointCount: number): Promise<void> {
    const job = { tasksPerStep: [endpointCount], cpuMillis: ROLL_CALL_CPU_MILLIS };
    return this.submit({ id: this.createId(), kind: 'service', ...job, maxPerEndpoint: 1 });
  }

  /** Submits a job whose only task crashes each endpoint that starts it. */
  submitCrashingJob(): Promise<void> {
    const job = { tasksPerStep: [1], cpuMillis: CPU_MILLIS };
    return this.submit({ id: this.createId(), kind: 'crashing', ...job });
  }

  /** Cancels jobs; resolves when the cancellations have been acknowledged or have failed. */
  async cancelAll(ids: string[]): Promise<void> {
    await Promise.all(ids.map((id) => this.cancel(id)));
  }

  /** Submits jobs and updates the configuration for the given time. */
  async generateLoad(durationMs: number): Promise<void> {
    const endMs = performance.now() + durationMs;
    let nextConfigMs = performance.now() + CONFIG_INTERVAL_MS;
    while (performance.now() < endMs) {
      this.track(this.submit(this.createJob()));
      if (performance.now() >= nextConfigMs) {
        nextConfigMs += CONFIG_INTERVAL_MS;
        this.track(this.updateConfig());
        this.track(this.readConfig());
      }
      await delay(JOB_INTERVAL_MS);
    }
  }

  /** Resolves when every call has been answered or has timed out. */
  async awaitPendingCalls(): Promise<void> {
    await Promise.all(this.open);
  }

  /** Reads the state of a job; undefined without a response, `gone` if the job is not found. */
  async readState(id: string): Promise<string | undefined> {
    const response = await this.callCaller('GET', id);
    if (response?.code === STATUS_GONE) return 'gone';
    if (response?.code !== STATUS_OK) return undefined;
    const { state } = JSON.parse(response.text) as { state: string };
    this.history.recordReportedState(id, state);
    return state;
  }

  async readConfig(): Promise<void> {
    const minVersion = this.history.requiredVersion;
    const response = await this.callControl('GET', Math.floor(this.random() * 10));
    if (response?.code === STATUS_OK) this.history.recordConfigRead(response.text, minVersion);
  }

  private track(work: Promise<void>): void {
    const done = work.finally(() => this.open.delete(done));
    this.open.add(done);
  }

  private createId(): string {
    this.jobCount += 1;
    return this.jobCount.toString(16).padStart(ID_DIGITS, '0');
  }

  private createJob(): SoakJob {
    const id = this.createId();
    const drawTaskCount = (max: number): number => 1 + Math.floor(this.random() * max);
    if (this.serviceCount < MAX_SERVICES && this.random() < SERVICE_PROBABILITY) {
      this.serviceCount += 1;
      const tasksPerStep = [drawTaskCount(MAX_SERVICE_TASKS)];
      return { id, kind: 'service', tasksPerStep, cpuMillis: CPU_MILLIS };
    }
    const stepCount = this.random() < 0.5 ? 1 : 2;
    const tasksPerStep = Array.from({ length: stepCount }, () => drawTaskCount(MAX_TASKS_PER_STEP));
    return { id, kind: 'batch', tasksPerStep, cpuMillis: CPU_MILLIS };
  }

  private async submit(job: SoakJob): Promise<void> {
    const { id, kind, tasksPerStep, cpuMillis, maxPerEndpoint } = job;
    this.history.recordSubmission(job);
    const steps = tasksPerStep.map((count, step) => ({
      count,
      cpu: cpuMillis,
      mem_mb: 10,
      estimate_ms: 300,
      long_running: kind === 'service',
      anti_affinity: maxPerEndpoint,
      ...(step > 0 ? { start_after: [step - 1] } : {}),
    }));
    const body = JSON.stringify({ task_spec: kind satisfies SoakJobKind, steps });
    let outcome: CallOutcome = 'unknown';
    let isWithdrawn = false;
    for (let tries = 0; tries < MAX_TRIES && outcome !== 'accepted' && !isWithdrawn; tries += 1) {
      this.history.recordCall(id);
      const isImpatient = this.random() < IMPATIENCE_PROBABILITY;
      const timeoutMs = isImpatient ? this.random() * MAX_IMPATIENT_MS : CALL_TIMEOUT_MS;
      const response = await this.callCaller('POST', id, body, timeoutMs);
      if (response?.code === STATUS_OK) outcome = 'accepted';
      else outcome = response && REFUSAL_STATUSES.includes(response.code) ? 'refused' : 'unknown';
      this.history.recordOutcome(id, outcome);
      isWithdrawn = outcome === 'unknown' && this.random() < WITHDRAWAL_PROBABILITY;
      if (outcome !== 'accepted' && !isWithdrawn) await delay(RETRY_INTERVAL_MS);
    }
    if (outcome === 'accepted') isWithdrawn = this.random() < CANCELLATION_PROBABILITY;
    if (isWithdrawn) await this.cancel(id);
  }

  private async cancel(id: string): Promise<void> {
    this.history.recordCancellationSent(id);
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const response = await this.callCaller('DELETE', id);
      if (response?.code === STATUS_OK || response?.code === STATUS_GONE) {
        this.history.recordCancellation(id, response.code === STATUS_OK);
        return;
      }
      await delay(RETRY_INTERVAL_MS);
    }
  }

  private async callCaller(
    method: 'POST' | 'GET' | 'DELETE',
    id: string,
    body?: string,
    timeoutMs?: number,
  ): Promise<{ code: number; text: string } | undefined> {
    const callers = this.callers();
    const caller = callers[Math.floor(this.random() * callers.length)]!;
    const headers = { host: HOST, authorization: `Bearer ${CALLER_KEY}` };
    return this.call(`http://${caller}${JOB_PATH_PREFIX}${id}`, method, headers, body, timeoutMs);
  }

  private async callControl(
    method: 'PUT' | 'GET',
    tries: number,
    body?: string,
  ): Promise<{ code: number; text: string } | undefined> {
    const controls = this.controls();
    const control = controls[tries % controls.length]!;
    return this.call(`http://${control}/-/config`, method, {}, body);
  }

  /** Resolves with undefined if there is no complete response. */
  private async call(
    url: string,
    method: 'POST' | 'GET' | 'DELETE' | 'PUT',
    headers: Record<string, string>,
    body: string | undefined,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<{ code: number; text: string } | undefined> {
    try {
      const signal = AbortSignal.timeout(Math.ceil(timeoutMs));
      const dispatcher = this.agent;
      const res = await request(url, { method, headers, body: body ?? null, signal, dispatcher });
      return { code: res.statusCode, text: await res.body.text() };
    } catch {
      // The soak provokes lost connections; the caller records their outcome as unknown.
      return undefined;
    }
  }
}
