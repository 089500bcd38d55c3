/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop,
   no-restricted-syntax
   -- off for TypeScript files too, see eslint.config.js */
// Stand-in of a machine with its runner, as PROTOCOL.md describes them.
import { callJson, serveJson } from './httpJson.mjs';
import { sleep } from './system.mjs';

const HEARTBEAT_MS = 1500;
const MAX_LISTED_ENDS = 500;

/** Time after which a machine is back whose runner a task has crashed. */
const CRASH_DOWN_MS = 3000;
const MAX_WAIT_MS = 2000;

/** Time after which a task fails on a machine that fails all that it starts. */
const FAIL_MS = 50;

/** One machine; each life of its runner has an id of its own. */
export class Machine {
  constructor({ name, host, zone, kind, rack, pool, capacity, controls, history, maxHoldMs }) {
    Object.assign(this, { name, host, zone, kind, rack, pool, capacity, controls, history });
    this.maxHoldMs = maxHoldMs;
    this.lives = 0;
    this.isUp = false;
    this.isCut = false;
    this.activeWaits = new Set();
  }

  /** Starts a new life of the runner. */
  async boot() {
    this.lives += 1;
    this.id = `i-${this.name}-${this.lives}`;
    this.born = Date.now();
    this.bootMs = performance.now() - 1000 - Math.random() * 100_000;
    this.seq = 0;
    this.endNumber = 0;
    this.fence = 0;
    this.untilMs = 0;
    this.runs = new Map();
    this.ends = [];
    this.settled = new Map();
    if (!this.server) {
      this.server = await serveJson(this.host, (req, body) => this.handle(req, body));
      this.address = `${this.host}:${this.server.address().port}`;
    }
    this.isUp = true;
    this.history.add('boot', { machine: this.name, runner: this.id });
    this.beat().catch(() => {});
  }

  clock() {
    return Math.floor(performance.now() - this.bootMs);
  }

  async beat() {
    const { id } = this;
    let target;
    while (this.isUp && this.id === id) {
      if (!this.isCut) {
        this.seq += 1;
        const body = {
          service: this.pool,
          address: this.address,
          zone: this.zone,
          version: 'v1',
          slots: 8,
          state: 'ready',
          cold_left_ms: 0,
          capacity: this.capacity,
          labels: [this.kind, this.rack],
          clock_ms: this.clock(),
          seq: this.seq,
          born: this.born,
          machine: this.name,
        };
        const others = [...this.controls].sort(() => Math.random() - 0.5);
        for (const control of target ? [target, ...others] : others) {
          const path = `/-/instances/${id}`;
          const res = await callJson(control, { method: 'PUT', path, body, timeoutMs: 1000 });
          if (res?.status === 200) {
            target = res.body?.heartbeat_addr;
            break;
          }
          target = undefined;
        }
      }
      await sleep(HEARTBEAT_MS);
    }
  }

  /** Ends the life at once: everything that runs on it is gone, and its connections are reset. */
  die(why) {
    if (!this.isUp) return;
    this.isUp = false;
    this.history.add('down', { machine: this.name, runner: this.id, why });
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.history.add('gone', { runner: this.id, task: run.task, run: run.run, why });
    }
    this.runs.clear();
    clearTimeout(this.leaseTimer);
    this.server.closeAllConnections();
  }

  /** The machine fails and its runner starts again, under a new id, after a while. */
  async crash(downMs, why = 'crash') {
    this.die(why);
    await sleep(downMs);
    await this.boot();
  }

  /** Cuts the machine off from the system; it runs on, and open connections go silent. */
  cut(isCut) {
    this.isCut = isCut;
    this.history.add(isCut ? 'cut off' : 'reachable again', { machine: this.name });
    if (!isCut) this.server.closeAllConnections();
  }

  extend(untilMs) {
    if (typeof untilMs !== 'number') return;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clock() + this.maxHoldMs));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.checkLease(), this.untilMs - this.clock() + 1);
  }

  checkLease() {
    if (this.clock() < this.untilMs) {
      this.leaseTimer = setTimeout(() => this.checkLease(), this.untilMs - this.clock() + 1);
      return;
    }
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
  }

  end(run, how) {
    if (!this.runs.delete(`${run.task}:${run.run}`)) return;
    clearTimeout(run.timer);
    this.settled.set(run.task, Math.max(run.run, this.settled.get(run.task) ?? 0));
    this.endNumber += 1;
    this.ends.push([this.endNumber, run.task, run.run, how, '']);
    this.history.add('end', { runner: this.id, task: run.task, run: run.run, how });
    for (const wake of this.activeWaits) wake();
  }

  async handle(req, body) {
    const { id } = this;
    if (!this.isUp) {
      req.socket.destroy();
      return undefined;
    }
    // Nothing passes in either direction.
    if (this.isCut) return undefined;
    const expected = req.headers['x-lagoongap-expected-instance'];
    if (expected !== undefined && expected !== id) return [421, {}];
    const answer = await this.answer(req.url, body ?? {});
    // The life has ended, or the answer is lost behind the cut.
    if (!this.isUp || this.id !== id || this.isCut) return undefined;
    return [answer[0], { clock_ms: this.clock(), born: this.born, ...answer[1] }];
  }

  async answer(path, body) {
    if (path === '/health') return [200, {}];
    const token = body.fencing_token ?? 0;
    if (token < this.fence) return [409, { reason: 'fence' }];
    this.fence = token;
    switch (path) {
      case '/-/run-start':
        return this.start(body);
      case '/-/run-stop':
        return this.stop(body);
      case '/-/hold':
        return this.hold(body);
      case '/-/pace':
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  start({ task, run, task_spec: spec, until_ms: untilMs }) {
    const key = `${task}:${run}`;
    if (this.runs.has(key)) {
      this.extend(untilMs);
      return [200, {}];
    }
    if (run <= (this.settled.get(task) ?? 0)) {
      this.extend(untilMs);
      return [409, { reason: 'old' }];
    }
    if (untilMs <= this.clock()) return [409, { reason: 'late' }];
    this.extend(untilMs);
    const entry = { task, run, sinceMs: performance.now() };
    this.runs.set(key, entry);
    this.history.add('start', { machine: this.name, runner: this.id, task, run, spec });
    const { ms, crashMs } = JSON.parse(spec);
    if (this.isFailing) entry.timer = setTimeout(() => this.end(entry, 'failed'), FAIL_MS);
    else if (crashMs > 0) {
      entry.timer = setTimeout(() => this.crash(CRASH_DOWN_MS, `crashed by ${task}`), crashMs);
    } else if (ms > 0) entry.timer = setTimeout(() => this.end(entry, 'done'), ms);
    return [200, {}];
  }

  stop({ task, run }) {
    const entry = this.runs.get(`${task}:${run}`);
    this.settled.set(task, Math.max(run, this.settled.get(task) ?? 0));
    if (entry) setTimeout(() => this.end(entry, 'stopped'), 50);
    return [200, {}];
  }

  async hold({ ack_seq: acked = 0, until_ms: untilMs, wait_ms: waitMs = 0 }) {
    this.extend(untilMs);
    this.ends = this.ends.filter(([number]) => number > acked);
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        let timer;
        const done = () => {
          clearTimeout(timer);
          this.activeWaits.delete(done);
          resolve();
        };
        timer = setTimeout(done, Math.min(waitMs, MAX_WAIT_MS));
        this.activeWaits.add(done);
      });
    }
    // A task that lasts is at work shortly after its start.
    const nowMs = performance.now();
    const active = [...this.runs.values()].map(({ task, run, sinceMs }) => [
      task,
      run,
      '',
      nowMs - sinceMs >= 300 ? 100 : 50,
      0,
    ]);
    return [200, { active_runs: active, finished: this.ends.slice(0, MAX_LISTED_ENDS) }];
  }
}
