import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { appendFile, mkdir, open, readdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { delay } from '@lagoongap/model/delay.js';

/** Role of a program of the system. */
export type SoakRole = 'replica' | 'gateway';

/** One program under test, on a loopback address of its own. */
interface SoakProcess {
  name: string;
  role: SoakRole;
  host: string;
  child: ChildProcess | undefined;
  isFirstStart: boolean;
  /** Faults that keep it down at present; they may overlap. */
  holds: number;
}

const CONTROL_PORT = 8180;
const CALLER_PORT = 8183;
const READY_PORT = 8184;
const RESTART_DELAY_MS = 200;
const GARBAGE_BYTES = 37;

const PROGRAM = 'platform/lib/main.js';

/** First and number of the second octets that soaks use on the loopback network. */
const FIRST_NETWORK = 20;
const NETWORKS = 200;

/** Cells of one process that may run at the same time, and processes for each second octet. */
const CELLS = 8;
const PROCESSES = 32;

let cellCount = 0;

/** Returns a loopback network that no other cell of this or another soak uses. */
function chooseNetwork(): string {
  const { pid } = process;
  const cell = cellCount % CELLS;
  cellCount += 1;
  const second = FIRST_NETWORK + (Math.floor(pid / PROCESSES) % NETWORKS);
  return `127.${second}.${(pid % PROCESSES) * CELLS + cell}`;
}

/** Starts the programs of a cell, restarts those that end, and lets faults hit them. */
export class SoakSystem implements AsyncDisposable {
  private readonly folder: string;
  private readonly network: string;
  private readonly advisorAddress: string;
  private readonly processes: SoakProcess[] = [];
  private isDisposed = false;

  constructor(folder: string, advisorAddress: string) {
    this.folder = folder;
    this.network = chooseNetwork();
    this.advisorAddress = advisorAddress;
    // No program may outlive a soak that ends by an error.
    process.once('exit', this.killAll);
  }

  async start(replicas: number, gateways: number): Promise<void> {
    const create = (role: SoakRole, index: number, host: number): SoakProcess => ({
      name: `${role}-${index}`,
      role,
      host: `${this.network}.${host}`,
      child: undefined,
      isFirstStart: true,
      holds: 0,
    });
    for (let i = 1; i <= replicas; i += 1) this.processes.push(create('replica', i, i));
    for (let i = 1; i <= gateways; i += 1) this.processes.push(create('gateway', i, 100 + i));
    for (const program of this.processes) await this.run(program);
  }

  /** Addresses at which replicas serve endpoints and operators. */
  get controls(): string[] {
    return this.list('replica').map(({ host }) => `${host}:${CONTROL_PORT}`);
  }

  /** Addresses at which gateways serve callers. */
  get callers(): string[] {
    return this.list('gateway').map(({ host }) => `${host}:${CALLER_PORT}`);
  }

  /** Address at which a gateway tells whether it is ready, given its address for callers. */
  static readinessOf(caller: string): string {
    return caller.replace(`:${CALLER_PORT}`, `:${READY_PORT}`);
  }

  /** Index of the replica that serves control at an address. */
  indexOfControl(address: string): number {
    return Math.max(0, this.controls.indexOf(address));
  }

  /** Kills a program; it starts again after `downMs`. */
  async kill(role: SoakRole, target: number, downMs: number): Promise<void> {
    const program = this.pick(role, target);
    program.holds += 1;
    program.child?.kill('SIGKILL');
    await delay(downMs);
    program.holds -= 1;
    await this.runAgain(program);
  }

  /** Stops a program for a while, as a suspended instance. */
  async freeze(role: SoakRole, target: number, ms: number): Promise<void> {
    const { child } = this.pick(role, target);
    child?.kill('SIGSTOP');
    await delay(ms);
    child?.kill('SIGCONT');
  }

  /** Asks a program to end; it starts again when it has. */
  terminate(role: SoakRole, target: number): void {
    this.pick(role, target).child?.kill('SIGTERM');
  }

  /** Tells a program that its settings file has changed. */
  reload(target: number): void {
    const program = this.processes[target % this.processes.length]!;
    program.child?.kill('SIGHUP');
  }

  /** Kills a replica, changes its files while it is down, and starts it again. */
  async damage(target: number, downMs: number, how: 'wipe' | 'tear'): Promise<void> {
    const program = this.pick('replica', target);
    program.holds += 1;
    program.child?.kill('SIGKILL');
    await delay(downMs);
    if (how === 'wipe') await rm(this.dataFolder(program), { recursive: true, force: true });
    else await this.tearLog(program);
    program.holds -= 1;
    await this.runAgain(program);
  }

  async killAllReplicas(downMs: number): Promise<void> {
    await Promise.all(this.list('replica').map((_, index) => this.kill('replica', index, downMs)));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    process.off('exit', this.killAll);
    await Promise.all(
      this.processes.map(async ({ child }) => {
        if (!child || child.exitCode !== null || child.signalCode !== null) return;
        const ended = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill('SIGKILL');
        await ended;
      }),
    );
  }

  private readonly killAll = (): void => {
    for (const { child } of this.processes) child?.kill('SIGKILL');
  };

  private list(role: SoakRole): SoakProcess[] {
    return this.processes.filter((program) => program.role === role);
  }

  private pick(role: SoakRole, target: number): SoakProcess {
    const programs = this.list(role);
    return programs[target % programs.length]!;
  }

  private dataFolder({ name }: SoakProcess): string {
    return join(this.folder, `${name}.data`);
  }

  /** Adds bytes to the newest segment, as a write that was torn by a power loss leaves them. */
  private async tearLog(program: SoakProcess): Promise<void> {
    const folder = this.dataFolder(program);
    // Another fault may have wiped the folder while the replica was down.
    if (!existsSync(folder)) return;
    const names = (await readdir(folder)).filter((name) => name.endsWith('.log')).sort();
    const newest = names.at(-1);
    if (newest !== undefined)
      await appendFile(join(folder, newest), Buffer.alloc(GARBAGE_BYTES, 7));
  }

  private async writeSettings(program: SoakProcess): Promise<string> {
    const { name, role, host, isFirstStart } = program;
    const seeds = this.controls.map((address) => `"${address}"`).join(', ');
    const listen =
      role === 'replica'
        ? `control = "${host}:${CONTROL_PORT}"`
        : `front = "${host}:${CALLER_PORT}"\nready = "${host}:${READY_PORT}"`;
    const data = role === 'replica' ? `data_dir = "${this.dataFolder(program)}"` : '';
    const text = `
node_name = "${name}"
ip = "${host}"
zone = "z-a"
port_range = [7420, 7435]
seeds = [${seeds}]
bootstrap = ${isFirstStart}
heartbeat_ms = 300
advice = "${this.advisorAddress}"
${data}
[listen]
${listen}
[bounds]
grace_s = 2
max_hold_ms = 4000
status_s = 120
`;
    const file = join(this.folder, `${name}.toml`);
    await writeFile(file, text);
    return file;
  }

  private async run(program: SoakProcess): Promise<void> {
    await mkdir(this.folder, { recursive: true });
    const settings = await this.writeSettings(program);
    const log = await open(join(this.folder, `${program.name}.log`), 'a');
    const child = spawn(process.execPath, [PROGRAM, program.role], {
      env: { ...process.env, LAGOONGAP_SETTINGS: settings },
      stdio: ['ignore', log.fd, log.fd],
    });
    await log.close();
    program.child = child;
    program.isFirstStart = false;
    child.on('exit', () => {
      if (program.child === child) program.child = undefined;
      if (program.holds === 0) this.runLater(program);
    });
  }

  private runLater(program: SoakProcess): void {
    setTimeout(() => {
      this.runAgain(program).catch((err: Error) => {
        process.stderr.write(`${program.name} does not start: ${err.message}\n`);
      });
    }, RESTART_DELAY_MS);
  }

  private async runAgain(program: SoakProcess): Promise<void> {
    if (this.isDisposed || program.child || program.holds > 0) return;
    await this.run(program);
  }
}
