import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { appendFile, mkdir, open, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { delay } from '@lagoongap/model/delay.js';

/** Role of a program under test. */
export type SoakRole = 'replica' | 'gateway';

/** Program under test, which listens on its own loopback address. */
interface SoakProcess {
  name: string;
  role: SoakRole;
  host: string;
  child: ChildProcess | undefined;
  isFirstStart: boolean;
  /** Number of active faults that keep the program down; faults may overlap. */
  holds: number;
}

const CONTROL_PORT = 8180;
const CALLER_PORT = 8183;
const READY_PORT = 8184;
/** Longest lease that endpoints grant. */
export const MAX_LEASE_MS = 4000;

const RESTART_DELAY_MS = 200;
const GARBAGE_BYTES = 37;

const READY_TIMEOUT_MS = 60_000;
const READY_CALL_TIMEOUT_MS = 1000;
const READY_INTERVAL_MS = 200;

const KB_PER_MB = 1024;

const PROGRAM = 'platform/lib/main.js';

/** Range of the second octets of loopback addresses that soaks use. */
const FIRST_SECOND_OCTET = 20;
const SECOND_OCTET_COUNT = 200;

/** Cells that one process may run in parallel, and processes that share a second octet. */
const CELLS_PER_PROCESS = 8;
const PROCESSES_PER_SECOND_OCTET = 32;

let cellCount = 0;

/** Allocates a loopback network that no other cell of this or another soak uses. */
function allocateNetwork(): string {
  const { pid } = process;
  const cell = cellCount % CELLS_PER_PROCESS;
  cellCount += 1;
  const secondOctet =
    FIRST_SECOND_OCTET + (Math.floor(pid / PROCESSES_PER_SECOND_OCTET) % SECOND_OCTET_COUNT);
  return `127.${secondOctet}.${(pid % PROCESSES_PER_SECOND_OCTET) * CELLS_PER_PROCESS + cell}`;
}

/** Starts the programs of a cell, restarts those that exit, and injects faults into them. */
export class SoakSystem implements AsyncDisposable {
  private readonly folder: string;
  private readonly network: string;
  private readonly advisorAddress: string;
  private readonly processes: SoakProcess[] = [];
  private isDisposed = false;

  constructor(folder: string, advisorAddress: string) {
    this.folder = folder;
    this.network = allocateNetwork();
    this.advisorAddress = advisorAddress;
    // Prevents programs from outliving a soak that ends with an error.
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
    for (const program of this.processes) await this.startProcess(program);
    await Promise.all(this.callerAddresses.map((caller) => SoakSystem.waitUntilReady(caller)));
  }

  /** Returns the number of running programs and their resident memory in MB; 0 if unknown. */
  async measure(): Promise<{ processes: number; memoryMb: number }> {
    const pids = this.processes.flatMap(({ child }) => child?.pid ?? []);
    const sizes = await Promise.all(pids.map((pid) => SoakSystem.readResidentKb(pid)));
    const totalKb = sizes.reduce((sum, size) => sum + size, 0);
    return { processes: pids.length, memoryMb: Math.round(totalKb / KB_PER_MB) };
  }

  /** Addresses at which replicas serve endpoints and operators. */
  get controlAddresses(): string[] {
    return this.listByRole('replica').map(({ host }) => `${host}:${CONTROL_PORT}`);
  }

  /** Addresses at which gateways serve callers. */
  get callerAddresses(): string[] {
    return this.listByRole('gateway').map(({ host }) => `${host}:${CALLER_PORT}`);
  }

  /** Returns the index of the replica with a control address, or 0 if there is none. */
  findReplicaIndex(address: string): number {
    return Math.max(0, this.controlAddresses.indexOf(address));
  }

  /** Kills a program and restarts it after `downMs`. */
  async kill(role: SoakRole, target: number, downMs: number): Promise<void> {
    const program = this.pickProcess(role, target);
    program.holds += 1;
    program.child?.kill('SIGKILL');
    await delay(downMs);
    program.holds -= 1;
    await this.restartIfDown(program);
  }

  /** Suspends a program for `durationMs`, like a suspended virtual machine. */
  async suspend(role: SoakRole, target: number, durationMs: number): Promise<void> {
    const { child } = this.pickProcess(role, target);
    child?.kill('SIGSTOP');
    await delay(durationMs);
    child?.kill('SIGCONT');
  }

  /** Asks a program to shut down; it is restarted after its exit. */
  stopGracefully(role: SoakRole, target: number): void {
    this.pickProcess(role, target).child?.kill('SIGTERM');
  }

  /** Asks a program to reload its settings file. */
  reload(target: number): void {
    const program = this.processes[target % this.processes.length]!;
    program.child?.kill('SIGHUP');
  }

  /** Kills a replica, wipes or damages its files while it is down, and restarts it. */
  async damageDisk(target: number, downMs: number, how: 'wipe' | 'tear'): Promise<void> {
    const program = this.pickProcess('replica', target);
    program.holds += 1;
    program.child?.kill('SIGKILL');
    await delay(downMs);
    if (how === 'wipe') await rm(this.getDataFolder(program), { recursive: true, force: true });
    else await this.appendTornWrite(program);
    program.holds -= 1;
    await this.restartIfDown(program);
  }

  async killAllReplicas(downMs: number): Promise<void> {
    await Promise.all(
      this.listByRole('replica').map((_, index) => this.kill('replica', index, downMs)),
    );
  }

  /**
   * Kills all programs at once, wipes the disks of replicas, and restarts all programs.
   *
   * @param first - Selects the first replica whose disk is wiped.
   */
  async losePower(first: number, wipedCount: number, downMs: number): Promise<void> {
    const programs = [...this.processes];
    for (const program of programs) {
      program.holds += 1;
      program.child?.kill('SIGKILL');
    }
    await delay(downMs);
    for (let i = 0; i < wipedCount; i += 1) {
      const folder = this.getDataFolder(this.pickProcess('replica', first + i));
      await rm(folder, { recursive: true, force: true });
    }
    for (const program of programs) {
      program.holds -= 1;
      await this.restartIfDown(program);
    }
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

  /** Waits until a gateway is ready, or for at most {@link READY_TIMEOUT_MS}. */
  private static async waitUntilReady(caller: string): Promise<void> {
    const url = `http://${caller.replace(`:${CALLER_PORT}`, `:${READY_PORT}`)}/-/ready`;
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const signal = AbortSignal.timeout(READY_CALL_TIMEOUT_MS);
      const res = await fetch(url, { signal }).catch(() => undefined);
      await res?.text().catch(() => undefined);
      if (res?.ok) return;
      await delay(READY_INTERVAL_MS);
    }
  }

  private static async readResidentKb(pid: number): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
  }

  private readonly killAll = (): void => {
    for (const { child } of this.processes) child?.kill('SIGKILL');
  };

  private listByRole(role: SoakRole): SoakProcess[] {
    return this.processes.filter((program) => program.role === role);
  }

  private pickProcess(role: SoakRole, target: number): SoakProcess {
    const programs = this.listByRole(role);
    return programs[target % programs.length]!;
  }

  private getDataFolder({ name }: SoakProcess): string {
    return join(this.folder, `${name}.data`);
  }

  /** Appends garbage to the newest log segment, as a power loss during a write leaves it. */
  private async appendTornWrite(program: SoakProcess): Promise<void> {
    const folder = this.getDataFolder(program);
    // Another fault may have wiped the folder while the replica was down.
    if (!existsSync(folder)) return;
    const names = (await readdir(folder)).filter((name) => name.endsWith('.log')).sort();
    const newest = names.at(-1);
    if (newest !== undefined)
      await appendFile(join(folder, newest), Buffer.alloc(GARBAGE_BYTES, 7));
  }

  private async writeSettings(program: SoakProcess): Promise<string> {
    const { name, role, host, isFirstStart } = program;
    const seeds = this.controlAddresses.map((address) => `"${address}"`).join(', ');
    const listen =
      role === 'replica'
        ? `control = "${host}:${CONTROL_PORT}"`
        : `front = "${host}:${CALLER_PORT}"\nready = "${host}:${READY_PORT}"`;
    const data = role === 'replica' ? `data_dir = "${this.getDataFolder(program)}"` : '';
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
max_hold_ms = ${MAX_LEASE_MS}
status_s = 120
`;
    const file = join(this.folder, `${name}.toml`);
    await writeFile(file, text);
    return file;
  }

  private async startProcess(program: SoakProcess): Promise<void> {
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
      if (program.holds === 0) this.scheduleRestart(program);
    });
  }

  private scheduleRestart(program: SoakProcess): void {
    setTimeout(() => {
      this.restartIfDown(program).catch((err: Error) => {
        process.stderr.write(`could not restart ${program.name}: ${err.message}\n`);
      });
    }, RESTART_DELAY_MS);
  }

  private async restartIfDown(program: SoakProcess): Promise<void> {
    if (this.isDisposed || program.child || program.holds > 0) return;
    await this.startProcess(program);
  }
}
