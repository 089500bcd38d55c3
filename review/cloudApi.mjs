// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, import-x/prefer-default-export */
/* eslint-disable no-restricted-syntax */
import { createServer } from 'node:http';

import { BOUNDS } from './cell.mjs';
import { Runner } from './runner.mjs';

const MS_PER_SECOND = 1000;

function readJson(req) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', reject);
    req.on('end', () => resolve(JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}')));
  });
}

/** The platform's machines, and its calls for their upkeep. */
export class CloudApi {
  constructor({ record, history, service }) {
    Object.assign(this, { record, history, service });
    /** Machines by name: the runner, and what the upkeep of waves has done. */
    this.machines = new Map();
    this.waves = new Map();
    this.fences = new Map();
    /** Begins of upkeeps with the machines of the wave that were down for theirs. */
    this.upkeeps = [];
    /** Returns whether the answer to a call that was carried out is lost with its connection. */
    this.losesAnswer = () => false;
    /** Called directly before everything on a machine ends. */
    this.onUpkeep = () => {};
  }

  async start(host) {
    this.host = host;
    this.server = createServer((req, res) => {
      this.serve(req, res).catch((err) => {
        this.record.write(`cloud: ${err.stack}`);
        res.destroy();
      });
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  async dispose() {
    this.server.close();
    this.server.closeAllConnections();
    for (const { runner } of this.machines.values()) runner.end('the script ends');
  }

  /** Turns on a machine, whose runner reports to the system. */
  async addMachine(name, control) {
    const machine = { name, control, lifetime: 0, isDown: false, doneWaves: new Set() };
    this.machines.set(name, machine);
    await this.startRunner(machine);
  }

  /** Tells the platform that a wave is asked for, as the operator does. */
  openWave({ wave, machines, max_count: maxCount }) {
    this.waves.set(wave, { machines, maxCount });
  }

  async startRunner(machine) {
    Object.assign(machine, { lifetime: machine.lifetime + 1, isDown: false });
    const { name, control, lifetime } = machine;
    const runner = new Runner({
      id: `i-${name}-${lifetime}`,
      machine: name,
      host: this.host,
      service: this.service,
      control,
      history: this.history,
    });
    Object.assign(machine, { runner });
    await runner.start();
  }

  async serve(req, res) {
    const body = await readJson(req);
    const answer = (status, content) => {
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(content));
    };
    if (req.method !== 'POST' || req.url !== '/-/machine-upkeep') {
      answer(404, {});
      return;
    }
    const { status, ...content } = this.upkeep(body, req.headers);
    const { machine, wave } = body;
    if (status === 200 && this.losesAnswer(body)) {
      this.record.write(`cloud: upkeep of ${machine} in wave ${wave}: carried out, answer lost`);
      req.socket.resetAndDestroy();
      return;
    }
    this.record.write(
      `cloud: upkeep of ${machine} in wave ${wave}: ${status} ${content.reason ?? ''}`,
    );
    answer(status, content);
  }

  upkeep({ machine: name, wave: number }, headers) {
    const machine = this.machines.get(name);
    const wave = this.waves.get(number);
    if (!machine) return { status: 400 };
    const token = Number(headers['x-lagoongap-fencing-token']);
    if (token < (this.fences.get(name) ?? 0)) return { status: 409, reason: 'fence' };
    this.fences.set(name, token);
    if (machine.doneWaves.has(number)) return { status: 200 };
    if (machine.isDown) return { status: 409, reason: 'busy' };
    if (!wave?.machines.includes(name)) return { status: 409, reason: 'wave' };
    const down = wave.machines.filter((other) => this.machines.get(other)?.isDown);
    this.upkeeps.push({ name, down, maxCount: wave.maxCount });
    this.record.write(`upkeep of ${name} begins; down for theirs: ${down.join(', ') || 'none'}`);
    this.onUpkeep(machine);
    machine.doneWaves.add(number);
    machine.isDown = true;
    const upkeepMs = BOUNDS.upkeep_s * MS_PER_SECOND;
    machine.runner.goDark('upkeep', upkeepMs);
    setTimeout(() => this.startRunner(machine), upkeepMs);
    return { status: 200 };
  }
}
