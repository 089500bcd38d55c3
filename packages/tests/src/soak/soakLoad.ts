import { request } from 'undici';

import { createConfig } from '../platform/documents.js';
import { createRandom } from './faultPlan.js';
import type { CallOutcome, SoakHistory, SoakJob } from './soakHistory.js';

const HOST = 'jobs.example';
const KEY = 'key-1';
const PREFIX = '/first/';
const CALL_TIMEOUT_MS = 3500;
const RETRY_MS = 200;
const MAX_TRIES = 6;
const JOB_INTERVAL_MS = 60;
const CONFIG_INTERVAL_MS = 700;
const CANCELLED_SHARE = 0.1;
const MAX_WIDTH = 6;
const CPU_MILLIS = 2000;
const ID_DIGITS = 16;
const OK = 200;
const GONE = 410;
const REFUSALS = [429, 503];

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Callers and an operator that press on while faults strike. */
export class SoakLoad {
  private readonly history: SoakHistory;
  private readonly callers: () => string[];
  private readonly controls: () => string[];
  private readonly random: () => number;
  private readonly open = new Set<Promise<void>>();
  private version = 0;
  private jobCount = 0;

  constructor(
    seed: number,
    history: SoakHistory,
    callers: () => string[],
    controls: () => string[],
  ) {
    this.random = createRandom(seed);
    this.history = history;
    this.callers = callers;
    this.controls = controls;
  }

  /** Sends a configuration until it is acknowledged. */
  async configure(): Promise<void> {
    this.version += 1 + Math.floor(this.random() * 3);
    const { version } = this;
    const document = JSON.stringify(createConfig(version));
    this.history.noteConfigSent(version, document);
    for (let tries = 0; ; tries += 1) {
      const status = await this.callControl('PUT', tries, document);
      if (status?.code === OK) break;
      await pause(RETRY_MS);
    }
    this.history.noteConfigAcked(version);
  }

  /** Hands in jobs and changes the configuration for a time. */
  async press(ms: number): Promise<void> {
    const endMs = performance.now() + ms;
    let nextConfigMs = performance.now() + CONFIG_INTERVAL_MS;
    while (performance.now() < endMs) {
      this.track(this.handIn());
      if (performance.now() >= nextConfigMs) {
        nextConfigMs += CONFIG_INTERVAL_MS;
        this.track(this.configure());
        this.track(this.readConfig());
      }
      await pause(JOB_INTERVAL_MS);
    }
  }

  /** Resolves when every call has been answered or given up. */
  async settle(): Promise<void> {
    await Promise.all(this.open);
  }

  /** Reads the state of a job; undefined if there is no answer, `gone` if it is not known. */
  async readState(id: string): Promise<string | undefined> {
    const answer = await this.callCaller('GET', id);
    if (answer?.code === GONE) return 'gone';
    if (answer?.code !== OK) return undefined;
    const { state } = JSON.parse(answer.text) as { state: string };
    this.history.noteState(id, state);
    return state;
  }

  async readConfig(): Promise<void> {
    const required = this.history.requiredVersion;
    const answer = await this.callControl('GET', Math.floor(this.random() * 10));
    if (answer?.code === OK) this.history.noteConfigRead(answer.text, required);
  }

  private track(work: Promise<void>): void {
    const done = work.finally(() => this.open.delete(done));
    this.open.add(done);
  }

  private async handIn(): Promise<void> {
    this.jobCount += 1;
    const id = this.jobCount.toString(16).padStart(ID_DIGITS, '0');
    const width = (): number => 1 + Math.floor(this.random() * MAX_WIDTH);
    const widths = this.random() < 0.5 ? [width()] : [width(), width()];
    const job: SoakJob = { id, widths, cpuMillis: CPU_MILLIS };
    this.history.noteSubmission(job);
    const steps = widths.map((count, step) => ({
      count,
      cpu: CPU_MILLIS,
      mem_mb: 10,
      estimate_ms: 300,
      ...(step > 0 ? { start_after: [step - 1] } : {}),
    }));
    const body = JSON.stringify({ task_spec: 'soak', steps });
    let outcome: CallOutcome = 'unknown';
    for (let tries = 0; tries < MAX_TRIES && outcome !== 'accepted'; tries += 1) {
      const answer = await this.callCaller('POST', id, body);
      if (answer?.code === OK) outcome = 'accepted';
      else outcome = answer && REFUSALS.includes(answer.code) ? 'refused' : 'unknown';
      this.history.noteAnswer(id, outcome);
      if (outcome !== 'accepted') await pause(RETRY_MS);
    }
    if (outcome === 'accepted' && this.random() < CANCELLED_SHARE) await this.cancel(id);
  }

  private async cancel(id: string): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const answer = await this.callCaller('DELETE', id);
      if (answer?.code === OK) {
        this.history.noteCancelled(id);
        return;
      }
      await pause(RETRY_MS);
    }
  }

  private async callCaller(
    method: 'POST' | 'GET' | 'DELETE',
    id: string,
    body?: string,
  ): Promise<{ code: number; text: string } | undefined> {
    const callers = this.callers();
    const caller = callers[Math.floor(this.random() * callers.length)]!;
    const headers = { host: HOST, authorization: `Bearer ${KEY}` };
    return this.call(`http://${caller}${PREFIX}${id}`, method, headers, body);
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

  /** Resolves with undefined if there is no whole answer. */
  private async call(
    url: string,
    method: 'POST' | 'GET' | 'DELETE' | 'PUT',
    headers: Record<string, string>,
    body: string | undefined,
  ): Promise<{ code: number; text: string } | undefined> {
    try {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const res = await request(url, { method, headers, body: body ?? null, signal });
      return { code: res.statusCode, text: await res.body.text() };
    } catch {
      // Broken connections are what the soak provokes; the caller counts them as unknown.
      return undefined;
    }
  }
}
