import { build } from 'hdr-histogram-js';

import {
  listGatewayOnlyInstances,
  sleep,
  sendRequest,
  startBenchCell,
  startRunners,
  type BenchCell,
} from './benchCell.js';
import type { BenchTable } from './benchReport.js';

interface Variant {
  name: string;
  scheduling?: { maxBatch?: number; policy?: 'fair-share' | 'first-fit' };
}

const VARIANTS: Variant[] = [
  { name: 'batched commits, fair share' },
  { name: 'one commit per placement', scheduling: { maxBatch: 1 } },
  { name: 'first-fit policy', scheduling: { policy: 'first-fit' } },
];
const CONCURRENCIES = [1, 8, 32, 128];
const RUNNER_COUNT = 10;
const SLOTS_PER_RUNNER = 16;
const WARM_UP_MS = 2000;
const POINT_DURATION_MS = 3000;
const NOTE_COUNT = 20;
const POLL_INTERVAL_MS = 10;
const FAILOVER_COUNT = 5;
const PROBE_COUNT = 4;
const FAILOVER_TIMEOUT_MS = 20_000;
const US_PER_MS = 1000;

interface LoadPoint {
  variant: string;
  concurrency: number;
  rate: number;
  p50Ms: number;
  p99Ms: number;
  failed: number;
}

/** Sends requests with a fixed concurrency to all instances for `durationMs`. */
async function measureLoad(
  bench: BenchCell,
  concurrency: number,
  durationMs: number,
): Promise<Omit<LoadPoint, 'variant'>> {
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  const instances = bench.cell.instanceIds;
  let failed = 0;
  let next = 0;
  const startMs = performance.now();
  const endMs = startMs + durationMs;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endMs) {
      const sentMs = performance.now();
      next += 1;
      const isAnswered = await sendRequest(bench, instances[next % instances.length]!);
      if (isAnswered) latencies.recordValue((performance.now() - sentMs) * US_PER_MS);
      else failed += 1;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runCaller));
  const seconds = (performance.now() - startMs) / 1000;
  return {
    concurrency,
    rate: latencies.totalCount / seconds,
    p50Ms: latencies.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: latencies.getValueAtPercentile(99) / US_PER_MS,
    failed,
  };
}

/** Measures the time from sending a note until it is in force on all instances, in milliseconds. */
async function measureNotes({ cell }: BenchCell): Promise<number[]> {
  const key = cell.operatorKey.secret;
  const durations: number[] = [];
  for (let i = 1; i <= NOTE_COUNT; i += 1) {
    const number = i + 1;
    const body = `number = ${number}\n[[added.teams]]\nname = "team-${i}"\nshare = 1\nlimit = {}\n`;
    const gateways = listGatewayOnlyInstances(cell);
    const gateway = gateways[i % gateways.length]!;
    const startMs = performance.now();
    const res = await cell.call(gateway, '/v1/notes', { method: 'POST', body, key });
    if (res.status !== 200) throw new Error(`note refused: ${JSON.stringify(res.body)}`);
    for (;;) {
      const noteStatus = await cell.call(gateway, `/v1/notes/${number}`, { key });
      if (noteStatus.body.inForceEverywhere === true) break;
      await sleep(POLL_INTERVAL_MS);
    }
    durations.push(performance.now() - startMs);
  }
  return durations;
}

/**
 * Measures the time from killing the leader until a request sent afterwards succeeds, in
 * milliseconds.
 */
async function measureFailover(bench: BenchCell): Promise<number> {
  const { cell } = bench;
  const leader = await cell.findLeader();
  const gateways = listGatewayOnlyInstances(cell);
  let answeredMs = Infinity;
  const handle = cell.daemons.get(leader)!;
  handle.signal('SIGKILL');
  const killedMs = performance.now();
  const probe = async (gateway: string): Promise<void> => {
    while (answeredMs === Infinity && performance.now() < killedMs + FAILOVER_TIMEOUT_MS) {
      if (await sendRequest(bench, gateway)) answeredMs = Math.min(answeredMs, performance.now());
      else await sleep(POLL_INTERVAL_MS);
    }
  };
  await Promise.all(gateways.slice(0, PROBE_COUNT).map(probe));
  await handle.waitForExit();
  cell.startDaemon(leader);
  await cell.waitUntilReady(leader);
  // The restarted replica must be a reachable voter before the next leader is killed.
  await sleep(WARM_UP_MS);
  return answeredMs - killedMs;
}

function summarizeDurations(name: string, values: number[]): (string | number)[] {
  const sorted = [...values].sort((a, b) => a - b);
  const getQuantile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
  return [
    name,
    values.length,
    getQuantile(0).toFixed(0),
    getQuantile(0.5).toFixed(0),
    getQuantile(1).toFixed(0),
  ];
}

async function startVariant({ scheduling }: Variant): Promise<BenchCell> {
  const bench = await startBenchCell({ scheduling });
  await startRunners(bench, RUNNER_COUNT, SLOTS_PER_RUNNER);
  await measureLoad(bench, CONCURRENCIES[2]!, WARM_UP_MS);
  return bench;
}

/**
 * Measures the variants one after the other at each concurrency, so that a change of other load on
 * the machine during the run does not appear as a difference between them.
 */
async function measureVariants(): Promise<LoadPoint[]> {
  const cells: BenchCell[] = [];
  const points: LoadPoint[] = [];
  try {
    for (const variant of VARIANTS) cells.push(await startVariant(variant));
    for (const concurrency of CONCURRENCIES) {
      for (const [i, bench] of cells.entries()) {
        const point = await measureLoad(bench, concurrency, POINT_DURATION_MS);
        points.push({ variant: VARIANTS[i]!.name, ...point });
      }
    }
  } finally {
    await Promise.all(cells.map(({ cell }) => cell[Symbol.asyncDispose]()));
  }
  return points;
}

async function measureChanges(): Promise<{ notesMs: number[]; failoversMs: number[] }> {
  const bench = await startBenchCell();
  await using cell = bench.cell;
  await startRunners({ ...bench, cell }, 2, SLOTS_PER_RUNNER);
  const notesMs = await measureNotes(bench);
  const failoversMs: number[] = [];
  for (let i = 0; i < FAILOVER_COUNT; i += 1) failoversMs.push(await measureFailover(bench));
  return { notesMs, failoversMs };
}

/** Measures a cell of nine daemons end to end. */
export async function measureCell(): Promise<{
  tables: BenchTable[];
  figures: Record<string, unknown>;
}> {
  const points = await measureVariants();
  const { notesMs, failoversMs } = await measureChanges();
  const loadRows = points.map((point) => [
    point.variant,
    point.concurrency,
    point.rate.toFixed(0),
    point.p50Ms.toFixed(2),
    point.p99Ms.toFixed(2),
    point.failed,
  ]);
  return {
    tables: [
      {
        title: `Requests end to end, nine daemons, ${RUNNER_COUNT} runners of ${SLOTS_PER_RUNNER} slots`,
        rows: [
          ['variant', 'concurrency', 'requests/s', 'p50 ms', 'p99 ms', 'not answered'],
          ...loadRows,
        ],
      },
      {
        title: 'Changes and failover',
        rows: [
          ['measurement', 'runs', 'min ms', 'median ms', 'max ms'],
          summarizeDurations('note in force on all nine instances', notesMs),
          summarizeDurations('leader killed until a request is answered', failoversMs),
        ],
      },
    ],
    figures: { points, notesMs, failoversMs },
  };
}
