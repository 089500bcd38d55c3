/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import { createServer } from 'node:http';

import { readJson } from './runner.mjs';

const UPKEEP_MS = 2000;

/** The platform's interface for machines: lists them, and carries out upkeep and fencing. */
export class Cloud {
  constructor(cell) {
    this.cell = cell;
    /** Upkeeps in the order of their beginning, with the machines that were down at that moment. */
    this.begun = [];
    this.down = new Map();
    this.done = new Set();
    this.fences = new Map();
    this.orderCount = 0;
    /** Returns whether the response to the order with this number is lost. */
    this.losesResponse = () => false;
    /** Called with the runner of a machine whose upkeep begins, before its tasks end. */
    this.onBegin = () => {};
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async start() {
    const { host, port } = this.cell.cloudAddress;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.server.unref();
  }

  async serve(req, res) {
    const body = await readJson(req);
    const send = (status, response) => {
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(response));
    };
    if (req.url.startsWith('/-/machines')) {
      send(200, { machines: this.list(), next_token: '' });
      return;
    }
    if (req.url !== '/-/machine-upkeep') {
      send(400, {});
      return;
    }
    this.orderCount += 1;
    const [status, response] = this.beginUpkeep(req, body);
    const isLost = this.losesResponse(this.orderCount);
    const holder = req.headers['x-lagoongap-duty-holder'];
    const token = req.headers['x-lagoongap-fencing-token'];
    this.cell.record('machine-upkeep', { ...body, holder, token, status, ...response, isLost });
    if (isLost) res.destroy();
    else send(status, response);
  }

  list() {
    return this.cell.runners.map(({ machine, service, zone, labels, capacity, id }) => ({
      machine,
      pool: service,
      state: this.down.has(machine) ? 'upkeep' : 'up',
      zone,
      labels,
      capacity,
      id,
    }));
  }

  beginUpkeep(req, { machine, wave }) {
    const runner = this.cell.runners.find((it) => it.machine === machine);
    if (!runner) return [400, {}];
    const token = Number(req.headers['x-lagoongap-fencing-token'] ?? 0);
    if (token < (this.fences.get(machine) ?? 0)) return [409, { reason: 'fence' }];
    this.fences.set(machine, token);
    const key = `${wave} ${machine}`;
    if (this.done.has(key)) return [200, {}];
    if (this.down.has(machine) || !runner.isUp) return [409, { reason: 'busy' }];
    const others = [...this.down.entries()].filter(([, it]) => it === wave).map(([name]) => name);
    this.begun.push({ machine, wave, others, atMs: performance.now() });
    this.onBegin(runner);
    this.done.add(key);
    this.down.set(machine, wave);
    runner.crash('upkeep');
    setTimeout(() => {
      this.down.delete(machine);
      runner.revive();
    }, UPKEEP_MS);
    return [200, {}];
  }
}
