/* eslint-disable import-x/prefer-default-export
   -- off for TypeScript files too, see eslint.config.js */
// Record of what was sent, answered and run.
import { writeFile } from 'node:fs/promises';

/** Keeps events with their times, and writes them to a file. */
export class History {
  constructor() {
    this.events = [];
    this.startMs = performance.now();
  }

  get nowS() {
    return (performance.now() - this.startMs) / 1000;
  }

  add(kind, details = {}) {
    this.events.push({ atS: this.nowS, kind, details });
  }

  list(kind) {
    return this.events.filter((event) => event.kind === kind);
  }

  /** Writes all events and then the summary. */
  async write(file, summary) {
    const lines = this.events.map(({ atS, kind, details }) => {
      const rest = Object.entries(details)
        .map(
          ([key, value]) => `${key}=${typeof value === 'object' ? JSON.stringify(value) : value}`,
        )
        .join(' ');
      return `${atS.toFixed(3).padStart(8)} s  ${kind}  ${rest}`;
    });
    await writeFile(file, `${[...lines, '', ...summary].join('\n')}\n`);
  }
}
