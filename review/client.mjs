// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop */

import { send } from './calls.mjs';
import { delay } from './cell.mjs';

/** Client of the platform, which sends a call again where its outcome is not known. */
export class Client {
  constructor({ record, cell, host, key }) {
    Object.assign(this, { record, cell, host, key });
    this.next = 0;
  }

  /** Sends one attempt; resolves with undefined if there was no response. */
  async attempt(method, path, body, { timeoutMs = 3000, address } = {}) {
    this.next += 1;
    const addresses = this.cell.callerAddresses;
    const to = address ?? addresses[this.next % addresses.length];
    const headers = { host: this.host, 'x-lagoongap-deadline-ms': String(timeoutMs) };
    if (this.key !== undefined) headers.authorization = `Bearer ${this.key}`;
    const call = { address: to, method, path, headers, body, timeoutMs };
    const res = await send(call).catch((err) => {
      this.record.write(`client ${method} ${path}: ${err.message}`);
      return undefined;
    });
    if (res) this.record.write(`client ${method} ${path}: ${res.status} ${res.text}`);
    return res;
  }

  /** Repeats a call after no response, a 502, a 503, a 504 or a 429. */
  async call(method, path, body, tries = 8) {
    let res;
    for (let i = 0; i < tries; i += 1) {
      res = await this.attempt(method, path, body);
      if (res && ![429, 502, 503, 504].includes(res.status)) return res;
      await delay(300);
    }
    throw new Error(`${method} ${path} was not answered: ${res?.status}`);
  }
}
