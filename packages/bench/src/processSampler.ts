import { readFileSync } from 'node:fs';

/** CPU time and memory of a process at one point in time. */
export interface ProcessSample {
  atMs: number;
  cpuSeconds: number;
  rssMib: number;
  peakMib: number;
}

/** Clock ticks per second in `/proc/<pid>/stat`; fixed at 100 on Linux. */
const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1024;

function readKib(status: string, field: string): number {
  return Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? NaN);
}

/** Samples a process from `/proc`; throws if the process has exited. */
export function sampleProcess(pid: number): ProcessSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command name in parentheses may contain spaces; the state after it is field 3.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    atMs: performance.now(),
    cpuSeconds: ticks / TICKS_PER_SECOND,
    rssMib: readKib(status, 'VmRSS') / KIB_PER_MIB,
    peakMib: readKib(status, 'VmHWM') / KIB_PER_MIB,
  };
}
