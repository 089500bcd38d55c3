import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';

import { StandInError } from './standInError.js';

/** Options of {@link ProcessHandle}. */
export interface ProcessOptions {
  name: string;
  /** Path of the script to run with Node.js. */
  script: string;
  args: string[];
  env?: Record<string, string>;
  /** File that the standard error stream is appended to. */
  logFile: string;
}

/** Exit status of a process. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** A Node.js process that prints one JSON object per line. */
export class ProcessHandle implements AsyncDisposable {
  readonly name: string;
  /** Printed objects, in order. */
  readonly records: Record<string, unknown>[] = [];
  private readonly child: ChildProcess;
  private readonly exited: Promise<ProcessExit>;
  private exit: ProcessExit | undefined;

  constructor(opts: ProcessOptions) {
    this.name = opts.name;
    this.child = spawn(process.execPath, [opts.script, ...opts.args], {
      env: { ...process.env, ...opts.env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stderr!.pipe(createWriteStream(opts.logFile, { flags: 'a' }));
    createInterface({ input: this.child.stdout! }).on('line', (line) => this.parseLine(line));
    this.exited = new Promise((resolve) => {
      this.child.on('exit', (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      });
    });
  }

  get pid(): number {
    return this.child.pid!;
  }

  get hasExited(): boolean {
    return this.exit !== undefined;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves when the process has exited. */
  waitForExit(): Promise<ProcessExit> {
    return this.exited;
  }

  /** Resolves with the first matching record; rejects on timeout or if the process exits first. */
  async waitForRecord(
    matches: (record: Record<string, unknown>) => boolean,
    timeoutMs: number,
  ): Promise<Record<string, unknown>> {
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      const found = this.records.find(matches);
      if (found) return found;
      if (this.exit) {
        throw new StandInError(`process ${this.name} exited with code ${this.exit.code}`);
      }
      if (performance.now() > endMs) {
        throw new StandInError(
          `process ${this.name} printed no matching record within ${timeoutMs} ms`,
        );
      }
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.exit) {
      // A process stopped by SIGSTOP handles no signal but SIGKILL until it is continued.
      this.child.kill('SIGKILL');
      await this.exited;
    }
  }

  private parseLine(line: string): void {
    try {
      this.records.push(JSON.parse(line));
    } catch {
      this.records.push({ text: line });
    }
  }
}
