// The rules below are those that the project turns off for its own TypeScript.

/* eslint-disable no-restricted-syntax, n/no-process-exit */
import { createWriteStream } from 'node:fs';
import path from 'node:path';

/** Time that a script may take, short of its limit of 120 seconds. */
const MAX_SCRIPT_MS = 112_000;

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Lines with the seconds since the start, in `record.txt` of a case. */
export class Record {
  constructor(folder) {
    this.stream = createWriteStream(path.join(folder, 'record.txt'));
    this.startMs = performance.now();
  }

  write(text) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3).padStart(8);
    this.stream.write(`${seconds} ${text}\n`);
  }

  /** Resolves when all lines are in the file. */
  close() {
    return new Promise((resolve) => {
      this.stream.end(resolve);
    });
  }
}

/**
 * Runs a case and exits: 1 if it returns a list of breaks that is not empty, 0 if the rule held, 2 if
 * it throws or takes too long.
 *
 * @param run - Gets the record and whether the disruption is wanted; registers what has to be
 * disposed of.
 */
export async function runCase(folder, run) {
  const record = new Record(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  const resources = [];
  const end = async (code, text) => {
    record.write(text);
    process.stdout.write(`${text}\n`);
    await Promise.all(resources.map((resource) => resource.dispose()));
    await record.close();
    process.exit(code);
  };
  setTimeout(() => end(NOT_RUN, 'NOT RUN: the script takes too long'), MAX_SCRIPT_MS);
  try {
    record.write(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
    const breaks = await run({ record, hasTrouble, use: (it) => resources.push(it) });
    for (const text of breaks) record.write(`BREAK ${text}`);
    if (breaks.length > 0) await end(BROKEN, `BROKEN: ${breaks[0]}`);
    else await end(HELD, 'HELD');
  } catch (err) {
    await end(NOT_RUN, `NOT RUN: ${err.stack}`);
  }
}
