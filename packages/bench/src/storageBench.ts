/**
 * Measures a restart of the log store (time and memory to read small records) and the latency of a
 * synced write. Run it on its own, not together with the tests:
 *
 *   npm run build && node packages/bench/lib/storageBench.js [--records 1000000] [--batch 1]
 *     [--syncs 1000] [--folder <folder>]
 *
 * The records are written without syncs and then read by a new process. Prints one JSON line per
 * measurement.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readdir, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import type { LogEntry } from '@lagoongap/storage/logStore.js';
import { cac } from 'cac';

import { UnsyncedFileSystem } from './unsyncedFileSystem.js';

interface BenchOptions {
  records: number;
  /** Number of entries per write. */
  batch: number;
  /** Number of synced writes to measure. */
  syncs: number;
  /** Parent folder of the data folders that are written. */
  folder?: string;
  /** Data folder to read; only set in the child process. */
  read?: string;
}

const BYTES_PER_MIB = 1024 * 1024;

function createEntry(index: number): LogEntry {
  const data = { kind: 'place', attempt: `attempt-${index}`, endpoint: `runner-${index % 30}` };
  return { index, term: 1, type: 'command', data };
}

function printMeasurement(line: Record<string, unknown>): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function toMebibytes(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MIB);
}

async function writeRecords(folder: string, records: number, batch: number): Promise<void> {
  const fileSystem = new UnsyncedFileSystem();
  await using store = new FileLogStore({ dataFolder: folder, fileSystem });
  await store.load();
  for (let index = 1; index <= records; index += batch) {
    const count = Math.min(batch, records - index + 1);
    const entries = Array.from({ length: count }, (_, i) => createEntry(index + i));
    await store.write({ entries });
  }
}

async function measureFolderBytes(folder: string): Promise<number> {
  const names = await readdir(folder);
  const stats = await Promise.all(names.map((name) => stat(join(folder, name))));
  return stats.reduce((sum, { size }) => sum + size, 0);
}

/** Reads a data folder in this process and prints time and memory use. */
async function readRecords(folder: string): Promise<void> {
  globalThis.gc?.();
  const before = process.memoryUsage();
  const startedAt = performance.now();
  await using store = new FileLogStore({ dataFolder: folder });
  const { entries } = await store.load();
  const restartMs = Math.round(performance.now() - startedAt);
  const peakRssMib = Math.round(process.resourceUsage().maxRSS / 1024);
  globalThis.gc?.();
  const after = process.memoryUsage();
  printMeasurement({
    measurement: 'restart',
    records: entries.length,
    restartMs,
    heapOfEntriesMib: toMebibytes(after.heapUsed - before.heapUsed),
    rssBeforeMib: toMebibytes(before.rss),
    peakRssMib,
  });
}

async function measureRestart(folder: string, opts: BenchOptions): Promise<void> {
  const startedAt = performance.now();
  await writeRecords(folder, opts.records, opts.batch);
  const writeMs = Math.round(performance.now() - startedAt);
  const fileMib = toMebibytes(await measureFolderBytes(folder));
  const { records, batch } = opts;
  printMeasurement({ measurement: 'write without sync', records, batch, writeMs, fileMib });
  const self = fileURLToPath(import.meta.url);
  const reader = fork(self, ['--read', folder], { execArgv: ['--expose-gc'] });
  const [code] = (await once(reader, 'exit')) as [number];
  if (code !== 0) throw new Error(`the reader process exited with code ${code}`);
}

async function measureSyncs(folder: string, syncs: number): Promise<void> {
  await using store = new FileLogStore({ dataFolder: folder });
  await store.load();
  const durations: number[] = [];
  for (let index = 1; index <= syncs; index += 1) {
    const startedAt = performance.now();
    await store.write({ entries: [createEntry(index)] });
    durations.push(performance.now() - startedAt);
  }
  durations.sort((a, b) => a - b);
  const getQuantile = (share: number) => Number(durations[Math.floor(syncs * share)]!.toFixed(3));
  printMeasurement({
    measurement: 'synced write',
    syncs,
    medianMs: getQuantile(0.5),
    p99Ms: getQuantile(0.99),
  });
}

async function runIn(measure: (folder: string) => Promise<void>, parent?: string): Promise<void> {
  const folder = await mkdtemp(join(parent ?? tmpdir(), 'lagoongap-bench-'));
  try {
    await measure(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

const cli = cac('storageBench');
cli.option('--records <count>', 'Records to read at the restart', { default: 1_000_000 });
cli.option('--batch <count>', 'Entries in one write', { default: 1 });
cli.option('--syncs <count>', 'Synced writes to measure', { default: 1000 });
cli.option('--folder <folder>', 'Parent of the folders that are written');
cli.option('--read <folder>', 'Read this folder only');
const opts = cli.parse().options as unknown as BenchOptions;

if (opts.read) {
  await readRecords(opts.read);
} else {
  await runIn((folder) => measureRestart(folder, opts), opts.folder);
  await runIn((folder) => measureSyncs(folder, opts.syncs), opts.folder);
}
