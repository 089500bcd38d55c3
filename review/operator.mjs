// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop */

import { send } from './calls.mjs';
import { delay } from './cell.mjs';

/** Operator, which sends an order again until its outcome is clear. */
export class Operator {
  constructor({ record, cell }) {
    Object.assign(this, { record, cell });
    this.next = 0;
  }

  async order(method, path, body, { tries = 20, first } = {}) {
    for (let i = 0; i < tries; i += 1) {
      const addresses = this.cell.controlAddresses;
      this.next += 1;
      const address = (i === 0 && first) || addresses[this.next % addresses.length];
      const res = await send({ address, method, path, body, timeoutMs: 1000 }).catch((err) => {
        this.record.write(`operator ${method} ${path} at ${address}: ${err.message}`);
        return undefined;
      });
      if (res) this.record.write(`operator ${method} ${path} at ${address}: ${res.status}`);
      if (res && res.status < 500 && res.status !== 408 && res.status !== 429) return res;
      await delay(100 + 50 * i);
    }
    throw new Error(`${method} ${path} was not answered`);
  }
}
