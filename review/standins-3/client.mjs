/* eslint-disable import-x/extensions, no-await-in-loop
   -- off for TypeScript files too, see eslint.config.js */
// Stand-ins of the operator and of clients.
import { randomBytes } from 'node:crypto';

import { callJson } from './httpJson.mjs';
import { sleep } from './system.mjs';

export const HOST = 'nony24.example';
export const PREFIX = '/lohu930/';
export const POOL = 'huvo11a';
export const KEY = '6x73d3zji9n73hh2b9wu';

/** Returns a configuration with one queue. */
export function createConfig(version, { maxAttempts = 3 } = {}) {
  return {
    version,
    routes: [
      {
        name: 'r-cpihhac',
        host: HOST,
        path_prefix: PREFIX,
        kind: 'unsafe',
        timeout_ms: 3000,
        target_duration_ms: 1200,
        priority: 0,
        service: POOL,
        max_attempts: maxAttempts,
        stretch: 2.2,
        allow_anonymous: false,
      },
    ],
    services: [
      {
        name: POOL,
        health_path: '/health',
        max_conns: 64,
        protocol: 'h1',
        tls: false,
        admission_control: false,
        spare: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      {
        name: 'kaje80',
        api_keys: [KEY],
        priority: 1,
        weight: 9,
        max_count: { cpu: 0, mem_mb: 0, gpu: 0 },
      },
    ],
  };
}

/** Sends an order of the operator to one node after the other until it is acknowledged. */
export async function order(controls, history, { method, path, body }, timeoutMs = 15_000) {
  const endMs = performance.now() + timeoutMs;
  for (let attempt = 0; performance.now() < endMs; attempt += 1) {
    const control = controls[attempt % controls.length];
    const res = await callJson(control, { method, path, body, timeoutMs: 3000 });
    history.add('order', { method, path, control, status: res?.status ?? 'none' });
    if (res && res.status >= 200 && res.status < 300) return res;
    await sleep(200 + 100 * attempt);
  }
  throw new Error(`${method} ${path} was not acknowledged`);
}

export function createId() {
  return randomBytes(8).toString('hex');
}

/** Calls of one client. */
export class Client {
  constructor(fronts, history) {
    this.fronts = fronts;
    this.history = history;
    this.calls = 0;
  }

  /** Sends a call to the next gateway, or to a given one. */
  async call(method, id, body, address = undefined) {
    const front = address ?? this.fronts[this.calls % this.fronts.length];
    this.calls += 1;
    const headers = {
      host: HOST,
      authorization: `Bearer ${KEY}`,
      'x-lagoongap-deadline-ms': '3000',
    };
    const sentS = this.history.nowS;
    const path = `${PREFIX}${id}`;
    const res = await callJson(front, { method, path, headers, body, timeoutMs: 3000 });
    this.history.add('call', {
      method,
      path,
      front,
      sentS: sentS.toFixed(3),
      status: res?.status ?? 'none',
      body: res?.body,
    });
    return res;
  }

  /** Hands a submission in, with the same id until it is accepted. */
  async submit(id, body) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const res = await this.call('POST', id, body);
      if (res && res.status >= 200 && res.status < 300) return true;
      await sleep(300);
    }
    return false;
  }

  async readState(id) {
    const res = await this.call('GET', id);
    return res?.status === 200 ? res.body?.state : undefined;
  }
}
