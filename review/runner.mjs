// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop */
/* eslint-disable no-restricted-syntax */
import { Agent, createServer } from 'node:http';

import { send } from './calls.mjs';
import { BOUNDS, delay, HEARTBEAT_MS } from './cell.mjs';

const TICK_MS = 10;
const RACK = 'r1-1';

/** Time after which a run fails on a runner that fails all. */
const FAIL_AFTER_MS = 100;

const FULL_PERCENT = 100;

/** Time after its start from which a task that lasts is at work. */
const STARTUP_MS = 500;

function readBody(req) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', reject);
    req.on('end', () => {
      try {
        resolve(JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}'));
      } catch (err) {
        reject(err);
      }
    });
  });
}

/**
 * Runner of the platform: runs what it is told under a lease, lists ends until they are taken note
 * of, and reports about itself. The text of a submission is JSON with `work_ms`; without it, its
 * tasks last.
 */
export class Runner {
  constructor({ id, machine, host, service, kind = 'a', control, history }) {
    Object.assign(this, { id, machine, host, service, kind, control, history });
    this.capacity = { cpu: 32_000, mem_mb: 131_072, gpu: 0 };
    /** Whether all runs that it starts fail. */
    this.failsAll = false;
    this.port = 0;
    this.isUp = false;
    /** Address of the advertised listener, if it is not the runner's own. */
    this.advertised = undefined;
    /** Maps an address of the system to the one that is dialled. */
    this.toDialled = (address) => address;
    this.leaderAddress = undefined;
    /** Called when it listens, before its first status report. */
    this.onListening = async () => {};
  }

  get record() {
    return this.history.record;
  }

  get address() {
    return this.advertised ?? `${this.host}:${this.port}`;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startMs);
  }

  /** Begins a lifetime. */
  async start() {
    this.born = Date.now();
    this.startMs = performance.now();
    this.fence = 0;
    this.untilMs = 0;
    this.seq = 0;
    this.endCount = 0;
    this.active = new Map();
    this.ended = [];
    this.highest = new Map();
    this.waiters = new Set();
    this.state = 'ready';
    this.hasSaidGoodbye = false;
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.port = this.server.address().port;
    await this.onListening();
    this.isUp = true;
    const { born } = this;
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.reportLoop(born).catch((err) => this.record.write(`${this.id}: ${err.message}`));
    this.record.write(`runner ${this.id} starts at ${this.address}`);
  }

  /** Ends the lifetime at once, as a crash or the end of the machine does. */
  end(how) {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.timer);
    for (const run of this.active.values()) this.history.end(run.entry, how);
    this.active.clear();
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
    this.record.write(`runner ${this.id} is gone: ${how}`);
  }

  /**
   * Ends the lifetime as a machine that goes down does: nothing is answered any more, and its
   * connections hang until they are reset after `resetMs`.
   */
  goDark(how, resetMs) {
    this.isUp = false;
    clearInterval(this.timer);
    for (const run of this.active.values()) this.history.end(run.entry, how);
    this.active.clear();
    this.agent.destroy();
    this.record.write(`runner ${this.id} is gone: ${how}`);
    const { server } = this;
    setTimeout(() => {
      server.close();
      server.closeAllConnections();
    }, resetMs);
  }

  async dispose() {
    this.end('the script ends');
  }

  /** Reports now that it drains; resolves when that is confirmed. */
  async drain() {
    this.state = 'draining';
    this.record.write(`runner ${this.id} begins to drain`);
    while (!(await this.report())) await delay(100);
    this.record.write(`runner ${this.id}: draining is confirmed`);
  }

  /** Sends its DELETE once; resolves with whether it was confirmed. */
  async sayGoodbye(timeoutMs) {
    this.hasSaidGoodbye = true;
    this.record.write(`runner ${this.id} sends DELETE`);
    const isConfirmed = await this.callControl('DELETE', undefined, timeoutMs);
    this.record.write(`runner ${this.id}: DELETE is ${isConfirmed ? '' : 'not '}confirmed`);
    return isConfirmed;
  }

  tick() {
    if (!this.isUp) return;
    if (this.clockMs >= this.untilMs) {
      for (const run of [...this.active.values()]) this.finish(run, 'lapsed');
    }
    for (const run of [...this.active.values()]) {
      if (run.workMs !== undefined && this.clockMs - run.fromMs >= run.workMs) {
        this.finish(run, 'done');
      }
    }
  }

  finish(run, how) {
    if (!this.active.delete(`${run.task}:${run.run}`)) return;
    this.history.end(run.entry, how);
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, '']);
    this.noteHighest(run.task, run.run);
    for (const wake of this.waiters) wake();
  }

  /** Ends the runs of a gang of which another member has ended. */
  breakGang(id, run) {
    if (!this.isUp) return;
    for (const it of [...this.active.values()]) {
      if (it.task.startsWith(`${id}.`) && it.run === run) this.finish(it, 'broken');
    }
  }

  noteHighest(task, run) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
  }

  extend(untilMs) {
    const longest = this.clockMs + BOUNDS.max_hold_ms;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, longest));
  }

  async serve(req, res) {
    const body = await readBody(req);
    const { born } = this;
    if (!this.isUp) return;
    const { status, ...answer } = await this.handle(req, body);
    if (!this.isUp || this.born !== born) return;
    const text = JSON.stringify({ clock_ms: this.clockMs, born: this.born, ...answer });
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(text);
  }

  async handle(req, body) {
    const expected = req.headers['x-lagoongap-expected-instance'];
    if (expected !== undefined && expected !== this.id) return { status: 421 };
    const token = body.fencing_token ?? 0;
    if (token < this.fence) return { status: 409, reason: 'fence' };
    this.fence = token;
    if (req.url === '/-/run-start') return this.startRun(body);
    if (req.url === '/-/run-stop') return this.stopRun(body);
    if (req.url === '/-/hold') return this.hold(body);
    return { status: req.url === '/-/pace' ? 200 : 404 };
  }

  startRun({ task, run, task_spec: text, until_ms: untilMs }) {
    const key = `${task}:${run}`;
    if (untilMs <= this.clockMs) return { status: 409, reason: 'late' };
    this.extend(untilMs);
    if (this.active.has(key)) return { status: 200 };
    if (run <= (this.highest.get(task) ?? 0)) return { status: 409, reason: 'old' };
    const { work_ms: workMs } = JSON.parse(text);
    const entry = this.history.begin(this.id, task, run);
    const started = { task, run, workMs, fromMs: this.clockMs, entry };
    this.active.set(key, started);
    if (this.failsAll) setTimeout(() => this.finish(started, 'failed'), FAIL_AFTER_MS);
    return { status: 200 };
  }

  stopRun({ task, run }) {
    this.noteHighest(task, run);
    const known = this.active.get(`${task}:${run}`);
    if (known) setTimeout(() => this.finish(known, 'stopped'), BOUNDS.stop_ms / 2);
    return { status: 200 };
  }

  async hold({ until_ms: untilMs, ack_seq: acked = 0, wait_ms: waitMs = 0 }) {
    this.ended = this.ended.filter(([number]) => number > acked);
    if (untilMs !== undefined) this.extend(untilMs);
    if (waitMs > 0 && this.ended.length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      this.waiters.clear();
    }
    return {
      status: 200,
      active_runs: [...this.active.values()].map((it) => [
        it.task,
        it.run,
        '',
        this.percentOf(it),
        0,
      ]),
      finished: this.ended.slice(0, 500),
    };
  }

  percentOf({ workMs, fromMs }) {
    if (workMs !== undefined) return FULL_PERCENT;
    return this.clockMs - fromMs >= STARTUP_MS ? FULL_PERCENT : 0;
  }

  async reportLoop(born) {
    // Its DELETE is the last that a runner says.
    while (this.isUp && this.born === born && !this.hasSaidGoodbye) {
      const isConfirmed = await this.report();
      await delay(isConfirmed ? HEARTBEAT_MS : 200);
    }
  }

  /** Sends one status report; resolves with whether it was confirmed. */
  async report() {
    this.seq += 1;
    return this.callControl(
      'PUT',
      {
        service: this.service,
        address: this.address,
        zone: 'attica-a',
        version: 'v1',
        slots: 8,
        state: this.state,
        cold_left_ms: 0,
        machine: this.machine,
        born: this.born,
        capacity: this.capacity,
        labels: [this.kind, RACK],
        clock_ms: this.clockMs,
        seq: this.seq,
      },
      1000,
    );
  }

  async callControl(method, body, timeoutMs) {
    const { born } = this;
    this.nextControl = (this.nextControl ?? 0) + 1;
    const address = this.leaderAddress ?? this.control[this.nextControl % this.control.length];
    const res = await send({
      address: this.toDialled(address),
      method,
      path: `/-/instances/${this.id}`,
      body,
      timeoutMs,
      agent: this.agent,
    }).catch(() => undefined);
    if (!this.isUp || this.born !== born) return false;
    const isConfirmed = res !== undefined && res.status < 300;
    this.leaderAddress = isConfirmed ? (res.body?.heartbeat_addr ?? address) : undefined;
    return isConfirmed;
  }
}
