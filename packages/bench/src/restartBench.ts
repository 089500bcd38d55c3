/**
 * Measures snapshot and restart of a replica with 1,000 notes and many placement records. Each
 * size runs in separate processes, because memory use is part of the results:
 *
 *   node packages/bench/lib/restartBench.js --records 100000
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readdir, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';

import { RaftReplica } from '@lagoongap/consensus/raftReplica.js';
import { parseReleaseNote } from '@lagoongap/release-notes/parseReleaseNote.js';
import { hashReleaseNote } from '@lagoongap/release-notes/hashReleaseNote.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';
import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';

import type { BenchTable } from './benchReport.js';

/** Results for one number of records. */
export interface RestartFigures {
  records: number;
  notes: number;
  /** Time for which copying the state blocks the event loop. */
  copyMs: number;
  /** Time from the copy until the snapshot is on disk. */
  writeMs: number;
  /** Longest event-loop delay from the copy until the snapshot is on disk. */
  pauseMs: number;
  snapshotMib: number;
  peakWhileWritingMib: number;
  /** Time until the new process has loaded the data folder and become the leader. */
  restartMs: number;
  rssAfterRestartMib: number;
  peakAtRestartMib: number;
}

const RECORD_COUNTS = [100_000, 1_000_000];
const NOTE_COUNT = 1000;
const TASKS_PER_JOB = 1000;
const ENDPOINT_COUNT = 1600;
const MIB = 1024 * 1024;
const KIB_PER_MIB = 1024;
const MAX_HEAP_MIB = 10_000;
const TASK_SIZE = { cpuMillis: 500, memoryMib: 256, accelerators: 0, slots: 0 };
const DELAY_RESOLUTION_MS = 10;
const NS_PER_MS = 1e6;

function fillState(state: ClusterState, records: number): number {
  let index = 0;
  const apply = (command: unknown): void => {
    index += 1;
    state.apply({ index, command });
  };
  for (let number = 1; number <= NOTE_COUNT; number += 1) {
    const text = `number = ${number}\n[[added.teams]]\nname = "team-${number}"\nshare = 1\nlimit = {}\n`;
    const note = parseReleaseNote(text).note!;
    apply({
      type: 'apply-note',
      note,
      contentHash: hashReleaseNote(note),
      by: 'bench',
      wallTime: 1,
    });
  }
  for (let first = 0; first < records; first += TASKS_PER_JOB) {
    const id = `job-${first}`;
    const base = { team: 'team-1', queue: 'indexing', work: 'metering', priority: 100 };
    const { team, priority, ...names } = base;
    const spec = {
      kind: 'service',
      ...names,
      tasks: TASKS_PER_JOB,
      size: TASK_SIZE,
      noRepeat: false,
    };
    apply({ type: 'submit-jobs', jobs: [{ id, team, spec, priority }], wallTime: 1 });
    const attempts = Array.from({ length: TASKS_PER_JOB }, (_, taskIndex) => ({
      id: `attempt-${first + taskIndex}`,
      unitId: id,
      kind: 'service',
      taskIndex,
      ...base,
      endpointId: `worker-${(first + taskIndex) % ENDPOINT_COUNT}`,
      size: TASK_SIZE,
      declared: TASK_SIZE,
      noRepeat: false,
    }));
    apply({ type: 'start-attempts', attempts, wallTime: 1 });
  }
  if (state.attempts.size !== records) {
    throw new Error(`${state.attempts.size} of ${records} records were added to the state`);
  }
  return index;
}

function peakRssMib(): number {
  return process.resourceUsage().maxRSS / KIB_PER_MIB;
}

async function measureSnapshot(folder: string, records: number): Promise<void> {
  const state = new ClusterState();
  const index = fillState(state, records);
  await using store = new FileLogStore({ dataFolder: folder });
  await store.load();
  const replicaId = 'instance-1/bench';
  const membership = { voters: [replicaId], learners: [] };
  await store.writeIdentity(replicaId);
  await store.write({ hardState: { term: 1, votedFor: replicaId } });
  const delays = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  delays.enable();
  delays.reset();
  // The first interval after a reset is not recorded.
  await new Promise((resolve) => {
    setTimeout(resolve, 5 * DELAY_RESOLUTION_MS);
  });
  const startMs = performance.now();
  const data = state.snapshot();
  const copiedMs = performance.now();
  await store.saveSnapshot({ index, term: 1, membership, data });
  const writtenMs = performance.now();
  await new Promise((resolve) => {
    setTimeout(resolve, 5 * DELAY_RESOLUTION_MS);
  });
  delays.disable();
  process.send!({
    copyMs: copiedMs - startMs,
    writeMs: writtenMs - copiedMs,
    pauseMs: delays.max / NS_PER_MS,
    peakWhileWritingMib: peakRssMib(),
  });
}

async function restart(folder: string, records: number): Promise<void> {
  const startMs = performance.now();
  const state = new ClusterState();
  await using store = new FileLogStore({ dataFolder: folder });
  await using replica = new RaftReplica({
    instanceId: 'instance-1',
    store,
    transport: { send: () => {}, onMessage: () => () => {} },
    stateMachine: state,
    onFatal: (err) => {
      throw err;
    },
  });
  await replica.start();
  while (replica.role !== 'leader') {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  await replica.whenReadyToLead();
  const restartMs = performance.now() - startMs;
  if (state.attempts.size !== records) throw new Error('records are missing after the restart');
  process.send!({
    restartMs,
    rssAfterRestartMib: process.memoryUsage().rss / MIB,
    peakAtRestartMib: peakRssMib(),
  });
}

async function runChild(mode: string, folder: string, records: number): Promise<object> {
  const args = ['--mode', mode, '--folder', folder, '--records', String(records)];
  const execArgv = [`--max-old-space-size=${MAX_HEAP_MIB}`];
  const child = fork(fileURLToPath(import.meta.url), args, { execArgv });
  let figures: object | undefined;
  child.on('message', (message) => {
    figures = message as object;
  });
  const [code] = (await once(child, 'exit')) as [number];
  if (code !== 0 || figures === undefined)
    throw new Error(`${mode} process exited with code ${code}`);
  return figures;
}

async function measureSize(records: number): Promise<RestartFigures> {
  const folder = await mkdtemp(join(tmpdir(), 'lagoongap-restart-'));
  try {
    const snapshotFigures = await runChild('snapshot', folder, records);
    const names = await readdir(folder);
    const sizes = await Promise.all(names.map((name) => stat(join(folder, name))));
    const snapshotMib = sizes.reduce((sum, { size }) => sum + size, 0) / MIB;
    const restartFigures = await runChild('restart', folder, records);
    return {
      records,
      notes: NOTE_COUNT,
      snapshotMib,
      ...snapshotFigures,
      ...restartFigures,
    } as RestartFigures;
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

/** Measures snapshot and restart for each number of records. */
export async function measureRestart(counts = RECORD_COUNTS): Promise<{
  tables: BenchTable[];
  figures: Record<string, unknown>;
}> {
  const sizes: RestartFigures[] = [];
  for (const records of counts) sizes.push(await measureSize(records));
  const head = [
    'placement records',
    'notes',
    'snapshot MiB',
    'copy ms',
    'write ms',
    'longest pause ms',
    'peak MiB, writing',
    'restart ms, election included',
    'RSS MiB after restart',
    'peak MiB, restart',
  ];
  const rows = sizes.map((size) => [
    size.records,
    size.notes,
    size.snapshotMib.toFixed(1),
    size.copyMs.toFixed(0),
    size.writeMs.toFixed(0),
    size.pauseMs.toFixed(0),
    size.peakWhileWritingMib.toFixed(0),
    size.restartMs.toFixed(0),
    size.rssAfterRestartMib.toFixed(0),
    size.peakAtRestartMib.toFixed(0),
  ]);
  return { tables: [{ title: 'Snapshot and restart', rows: [head, ...rows] }], figures: { sizes } };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const { values } = parseArgs({
    options: {
      mode: { type: 'string' },
      folder: { type: 'string' },
      records: { type: 'string', default: '100000' },
    },
  });
  const records = Number(values.records);
  if (values.mode === 'snapshot') await measureSnapshot(values.folder!, records);
  else if (values.mode === 'restart') await restart(values.folder!, records);
  else process.stdout.write(`${JSON.stringify(await measureRestart([records]), null, 2)}\n`);
}
