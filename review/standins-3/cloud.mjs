/* eslint-disable import-x/extensions, import-x/prefer-default-export
   -- off for TypeScript files too, see eslint.config.js */
// Stand-in of the platform's machine API, as PROTOCOL.md describes it.
import { serveJson } from './httpJson.mjs';
import { BOUNDS, sleep } from './system.mjs';

const MS_PER_SECOND = 1000;

/** Carries out upkeeps of machines; `losesAnswer` tells whether the answer to a call is lost. */
export class Cloud {
  constructor({ fleet, history }) {
    this.fleet = fleet;
    this.history = history;
    this.losesAnswer = () => false;
    this.waves = new Map();
    /** Machines whose upkeep for a wave has begun. */
    this.begun = new Map();
    this.down = new Set();
    this.fences = new Map();
  }

  async listen(host) {
    const server = await serveJson(host, (req, body) => this.handle(req, body));
    this.address = `${host}:${server.address().port}`;
    return this;
  }

  handle(req, body) {
    const path = req.url.split('?')[0];
    if (req.method === 'GET' && path === '/-/machines') return [200, this.list()];
    if (req.method !== 'POST' || path !== '/-/machine-upkeep') return [404, {}];
    const holder = req.headers['x-lagoongap-duty-holder'];
    const fence = Number(req.headers['x-lagoongap-fencing-token'] ?? 0);
    const answer = this.beginUpkeep(body, holder, fence);
    const isLost = this.losesAnswer(body, answer);
    this.history.add('upkeep call', {
      ...body,
      holder,
      fence,
      status: answer[0],
      reason: answer[1].reason,
      answer: isLost ? 'lost' : 'sent',
    });
    if (!isLost) return answer;
    req.socket.destroy();
    return undefined;
  }

  list() {
    const machines = this.fleet.map((machine) => ({
      machine: machine.name,
      pool: machine.pool,
      state: this.down.has(machine.name) ? 'upkeep' : 'up',
      zone: machine.zone,
      labels: [machine.kind, machine.rack],
      capacity: machine.capacity,
      id: machine.id,
    }));
    return { machines, next_token: '' };
  }

  beginUpkeep({ machine: name, wave }, holder, fence) {
    const machine = this.fleet.find((it) => it.name === name);
    if (!machine) return [400, {}];
    if (fence < (this.fences.get(name) ?? 0)) return [409, { reason: 'fence' }];
    this.fences.set(name, fence);
    if (!this.waves.get(wave)?.machines.includes(name)) return [409, { reason: 'wave' }];
    const begun = this.begun.get(wave) ?? new Set();
    if (begun.has(name)) return [200, {}];
    if (!machine.isUp) return [409, { reason: 'busy' }];
    this.begun.set(wave, begun.add(name));
    const others = [...this.down].filter((it) => this.waves.get(wave).machines.includes(it));
    this.history.add('upkeep begins', { machine: name, wave, down: others });
    this.down.add(name);
    machine.die('upkeep');
    sleep(BOUNDS.upkeep_s * MS_PER_SECOND).then(async () => {
      this.down.delete(name);
      if (!this.isClosed) await machine.boot();
    });
    return [200, {}];
  }
}
