import { readFileSync } from 'node:fs';

/** Processor time and memory of a process at one moment. */
export interface ProcessSample {
  atMs: number;
  cpuSeconds: number;
  rssMib: number;
  peakMib: number;
}

/** Clock ticks a second in `/proc/<pid>/stat`; fixed at 100 on Linux. */
const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1024;

function readKib(status: string, field: string): number {
  return Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? NaN);
}

/** Reads `/proc` for a process; throws if it has ended. */
export function sampleProcess(pid: number): ProcessSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may contain spaces; the state is field 3.
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
