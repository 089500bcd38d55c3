/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1500;
const MAX_LISTED_ENDS = 500;
const MAX_HOLD_MS = 10_000;
const STOP_MS = 100;
const TICK_MS = 20;
const DEFAULT_STARTUP_MS = 500;
const CHECKPOINT_MS = 1000;

/** Reads the JSON body of a request; undefined if it is not JSON. */
export async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Sends one HTTP call; resolves with status and text, or with undefined if there is no response. */
export async function callHttp(method, url, { body, headers = {}, timeoutMs = 1000 } = {}) {
  try {
    const res = await fetch(url, {
      method,
      headers: { 'content-type': 'application/json', ...headers },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
      redirect: 'follow',
    });
    return { status: res.status, text: await res.text() };
  } catch {
    return undefined;
  }
}

/**
 * A runner of the platform, as PROTOCOL.md describes it. The text of a task says how long it works:
 * `{"ms":600}`; one with `lasts` has no end, one with `crashAfterMs` crashes its runner. A crash ends the lifetime; `revive` begins the next one under a new id.
 */
export class Runner {
  constructor({
    host,
    port,
    machine,
    service,
    zone,
    labels,
    capacity,
    listControl,
    record,
    onEnd,
  }) {
    Object.assign(this, { host, port, machine, service, zone, labels, capacity });
    Object.assign(this, { listControl, record, onEnd });
    this.slowFactor = 1;
    this.startupMs = DEFAULT_STARTUP_MS;
    this.isUp = false;
    /** Called for a run whose task crashes the runner at this moment (`crashAfterMs`). */
    this.onDeadly = () => {};
    /** Called for each run that starts. */
    this.onStart = () => {};
    this.waiters = new Set();
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.revive();
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    this.beater = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /**
   * Begins a new lifetime.
   *
   * @param id - Id to start again under; by default a new one.
   * @param clockStepMs - Time by which the time of day of the machine is ahead at this moment.
   */
  revive({ id = `i-${randomBytes(4).toString('hex')}`, clockStepMs = 0 } = {}) {
    this.id = id;
    this.born = Date.now() + clockStepMs;
    this.startedMs = performance.now();
    this.seq = 0;
    this.fence = 0;
    this.untilMs = 0;
    this.runs = new Map();
    this.ended = [];
    this.endCount = 0;
    this.highest = new Map();
    this.isUp = true;
    this.record('runner-up', { runner: this.id, machine: this.machine, born: this.born });
    this.beat();
  }

  /** Ends this lifetime without a word: no response, and all connections are reset. */
  crash(why) {
    if (!this.isUp) return;
    this.isUp = false;
    const tasks = [...this.runs.values()].map(({ task, run }) => `${task}:${run}`);
    this.record('runner-down', { runner: this.id, machine: this.machine, why, tasks });
    this.runs.clear();
    for (const wake of this.waiters) wake();
    this.server.closeAllConnections();
  }

  stop() {
    clearInterval(this.ticker);
    clearInterval(this.beater);
    this.isUp = false;
    this.server.closeAllConnections();
    this.server.close();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedMs);
  }

  /** Share of its speed at which a run works; 100 once its startup is over. */
  percentOf(run) {
    return performance.now() >= run.workFromMs ? 100 : 0;
  }

  async beat() {
    if (!this.isUp) return;
    this.seq += 1;
    const { id, service, zone, machine, labels, capacity, seq, born, clockMs } = this;
    const body = {
      service,
      address: `${this.host}:${this.port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      machine,
      capacity,
      labels,
      clock_ms: clockMs,
      seq,
      born,
    };
    const control = this.listControl();
    const addresses = this.beatAddress ? [this.beatAddress, ...control] : control;
    for (const address of addresses) {
      if (!this.isUp || this.id !== id) return;
      const res = await callHttp('PUT', `http://${address}/-/instances/${id}`, { body });
      if (res?.status !== 200) continue;
      this.beatAddress = JSON.parse(res.text || '{}').heartbeat_addr;
      return;
    }
    this.beatAddress = undefined;
  }

  async serve(req, res) {
    const body = await readJson(req);
    if (!this.isUp) {
      res.destroy();
      return;
    }
    const expected = req.headers['x-lagoongap-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reply(res, 421, {});
      return;
    }
    const path = req.url;
    if (path === '/-/run-start') this.reply(res, ...this.startRun(body));
    else if (path === '/-/run-stop') this.reply(res, ...this.stopRun(body));
    else if (path === '/-/hold') await this.hold(res, body);
    else if (path === '/-/pace') this.reply(res, 200, {});
    else this.reply(res, 200, {});
  }

  reply(res, status, body) {
    if (!this.isUp || res.destroyed) {
      res.destroy();
      return;
    }
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ clock_ms: this.clockMs, born: this.born, ...body }));
  }

  isFenced({ fencing_token: token = 0 }) {
    if (token < this.fence) return true;
    this.fence = token;
    return false;
  }

  extend(untilMs) {
    if (untilMs === undefined) return;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clockMs + MAX_HOLD_MS));
  }

  startRun(body) {
    const { task, run, task_spec: text, until_ms: untilMs, checkpoint = '' } = body;
    if (this.isFenced(body)) return [409, { reason: 'fence' }];
    const known = this.runs.get(task);
    if (known?.run === run) return [200, {}];
    if (run <= (this.highest.get(task) ?? 0) || known) {
      this.extend(untilMs);
      return [409, { reason: 'old' }];
    }
    if (untilMs <= this.clockMs) return [409, { reason: 'late' }];
    this.extend(untilMs);
    const spec = JSON.parse(text);
    const startupMs = spec.lasts ? this.startupMs * this.slowFactor : 0;
    const nowMs = performance.now();
    const savedMs = Number(checkpoint || 0);
    this.runs.set(task, {
      task,
      run,
      startedMs: nowMs,
      savedMs,
      workFromMs: nowMs + startupMs,
      endMs: spec.lasts ? Infinity : nowMs + (spec.ms - savedMs) * this.slowFactor,
      how: spec.how ?? 'done',
      saves: spec.saves === true,
      stopMs: Infinity,
      crashMs: spec.crashAfterMs === undefined ? Infinity : nowMs + spec.crashAfterMs,
    });
    this.onStart({ task, run });
    this.record('start', { task, run, runner: this.id, machine: this.machine });
    return [200, {}];
  }

  stopRun(body) {
    if (this.isFenced(body)) return [409, { reason: 'fence' }];
    const { task, run } = body;
    const known = this.runs.get(task);
    if (known?.run === run) known.stopMs = Math.min(known.stopMs, performance.now() + STOP_MS);
    else this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    return [200, {}];
  }

  async hold(res, body) {
    if (this.isFenced(body)) {
      this.reply(res, 409, { reason: 'fence' });
      return;
    }
    this.extend(body.until_ms);
    const ack = body.ack_seq ?? 0;
    this.ended = this.ended.filter(([number]) => number > ack);
    if (this.ended.length === 0 && body.wait_ms > 0) await this.waitForEnd(body.wait_ms);
    const nowMs = performance.now();
    const active = [...this.runs.values()].map((it) => {
      const workedMs = it.savedMs + (nowMs - it.startedMs) / this.slowFactor;
      const saved = it.saves ? String(Math.floor(workedMs / CHECKPOINT_MS) * CHECKPOINT_MS) : '';
      return [it.task, it.run, saved, this.percentOf(it), 0];
    });
    this.reply(res, 200, { active_runs: active, finished: this.ended.slice(0, MAX_LISTED_ENDS) });
  }

  waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      setTimeout(wake, waitMs);
    });
  }

  endRun(run, how, saved = '') {
    this.runs.delete(run.task);
    this.highest.set(run.task, Math.max(run.run, this.highest.get(run.task) ?? 0));
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, saved]);
    this.record('end', { task: run.task, run: run.run, how, runner: this.id });
    this.onEnd({ task: run.task, run: run.run, how });
    for (const wake of [...this.waiters]) wake();
  }

  tick() {
    if (!this.isUp) return;
    const nowMs = performance.now();
    const hasLapsed = this.runs.size > 0 && this.clockMs > this.untilMs;
    for (const run of [...this.runs.values()]) {
      if (nowMs >= run.crashMs) {
        this.onDeadly(run);
        return;
      }
      if (hasLapsed) this.endRun(run, 'lapsed');
      else if (nowMs >= run.stopMs) this.endRun(run, 'stopped');
      else if (nowMs >= run.endMs) this.endRun(run, run.how);
    }
  }
}
