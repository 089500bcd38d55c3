import { spawn, type ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';

/** Options of a {@link SystemProcess}. */
export interface SystemProcessOptions {
  script: string;
  args: string[];
  /** Flags of Node.js, for example a lowered heap limit. */
  nodeFlags: string[];
  env?: Record<string, string>;
  /** Limit on open files that the process is started with; the limit of the tests by default. */
  maxOpenFiles?: number;
}

const SAMPLE_INTERVAL_MS = 50;
const KIB_PER_MIB = 1024;
const MAX_OUTPUT_LENGTH = 4000;

function readOrUndefined<Result>(read: () => Result): Result | undefined {
  try {
    return read();
  } catch {
    // The process has ended.
    return undefined;
  }
}

/** Program of the system in a process of its own, whose memory and descriptors are sampled. */
export class SystemProcess implements AsyncDisposable {
  /** Largest resident memory so far in MiB. */
  peakMemoryMb = 0;
  /** Largest number of open descriptors so far. */
  peakDescriptors = 0;
  private readonly child: ChildProcess;
  private readonly sampler: NodeJS.Timeout;
  private readonly exited: Promise<void>;
  private output = '';

  constructor({ script, args, nodeFlags, env, maxOpenFiles }: SystemProcessOptions) {
    const command = [process.execPath, ...nodeFlags, script, ...args];
    const shell = maxOpenFiles === undefined ? [] : ['-c', `ulimit -n ${maxOpenFiles}; exec "$@"`];
    const [program, ...rest] = shell.length === 0 ? command : ['sh', ...shell, 'sh', ...command];
    this.child = spawn(program!, rest, {
      env: { ...process.env, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const collect = (text: Buffer): void => {
      this.output = `${this.output}${text.toString('utf8')}`.slice(-MAX_OUTPUT_LENGTH);
    };
    this.child.stdout!.on('data', collect);
    this.child.stderr!.on('data', collect);
    this.exited = new Promise((resolve) => {
      this.child.once('exit', () => resolve());
    });
    this.sampler = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Why the process has ended, or undefined while it lives. */
  get end(): string | undefined {
    const { exitCode, signalCode } = this.child;
    if (exitCode === null && signalCode === null) return undefined;
    return `ended with ${signalCode ?? exitCode}: ${this.output}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.sampler);
    this.child.kill('SIGKILL');
    await this.exited;
  }

  private sample(): void {
    const folder = `/proc/${this.child.pid}`;
    const status = readOrUndefined(() => readFileSync(`${folder}/status`, 'utf8')) ?? '';
    // VmHWM is the peak of VmRSS, so that no peak is lost between two samples.
    const peakKib = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
    this.peakMemoryMb = Math.max(this.peakMemoryMb, peakKib / KIB_PER_MIB);
    const descriptors = readOrUndefined(() => readdirSync(`${folder}/fd`).length) ?? 0;
    this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
  }
}
