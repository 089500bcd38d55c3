import { join } from 'node:path';

import { ProcessHandle } from '@lagoongap/stand-in/processHandle.js';

import {
  CELL_INSTANCE_COUNT,
  CELL_REPLICA_COUNT,
  listGatewayOnlyInstances,
  sleep,
  sendRequest,
  startBenchCell,
  startRunners,
  WORK_KIND,
  type BenchCell,
} from './benchCell.js';
import type { BenchTable } from './benchReport.js';
import {
  COST_ROLES,
  type CostFigures,
  type CostPoint,
  type CostRole,
  type CostSlope,
  type RoleCost,
} from './costPoint.js';
import { buildFitsTable, buildPointsTable } from './costTables.js';
import { fitLine, type FitPoint, type LinearFit } from './linearFit.js';
import { sampleProcess, type ProcessSample } from './processSampler.js';

const IDLE_DURATION_MS = 15_000;
const POINT_DURATION_MS = 6000;
const SETTLE_DELAY_MS = 2500;
const ENDPOINT_COUNTS = [40, 80, 160, 320];
const REQUEST_RATES = [25, 50, 100, 200];
const TASK_COUNTS = [2000, 4000, 8000, 16_000];
const TASK_ENDPOINTS = 40;
const TASKS_PER_JOB = 250;
const REQUEST_TICK_INTERVAL_MS = 20;
const START_TIMEOUT_MS = 60_000;

interface PeerTotals {
  bytes: number;
  messages: number;
}

async function readPeerTotals({ cell }: BenchCell, id: string): Promise<PeerTotals> {
  const text = String((await cell.call(id, '/metrics')).body);
  const sum = (name: string): number =>
    [...text.matchAll(new RegExp(`^${name}\\{[^}]*\\} (\\S+)$`, 'gm'))].reduce(
      (total, match) => total + Number(match[1]),
      0,
    );
  return {
    bytes: sum('lagoongap_peer_bytes_total'),
    messages: sum('lagoongap_peer_messages_total'),
  };
}

function getRole(id: string, leader: string, bench: BenchCell): CostRole {
  if (id === leader) return 'leader';
  return listGatewayOnlyInstances(bench.cell).includes(id) ? 'gateway' : 'follower';
}

function averageCosts(costs: RoleCost[]): RoleCost {
  const mean = (read: (cost: RoleCost) => number): number =>
    costs.reduce((sum, cost) => sum + read(cost), 0) / costs.length;
  return {
    cpuPercent: mean((cost) => cost.cpuPercent),
    rssMib: mean((cost) => cost.rssMib),
    peakMib: mean((cost) => cost.peakMib),
    peerBytes: mean((cost) => cost.peerBytes),
    peerMessages: mean((cost) => cost.peerMessages),
  };
}

function computeCost(
  from: ProcessSample,
  to: ProcessSample,
  before: PeerTotals,
  after: PeerTotals,
): RoleCost {
  const seconds = (to.atMs - from.atMs) / 1000;
  return {
    cpuPercent: ((to.cpuSeconds - from.cpuSeconds) / seconds) * 100,
    rssMib: to.rssMib,
    peakMib: to.peakMib,
    peerBytes: (after.bytes - before.bytes) / seconds,
    peerMessages: (after.messages - before.messages) / seconds,
  };
}

/** Returns the traffic rates of simulated endpoints from their output since line `fromLine`. */
function readEndpointRates(
  load: ProcessHandle | undefined,
  fromLine: number,
): { bytes: number; heartbeats: number } {
  const lines = (load?.records ?? []).slice(fromLine) as Record<string, number>[];
  const [first, last] = [lines[0], lines.at(-1)];
  if (!first || !last || first === last) return { bytes: 0, heartbeats: 0 };
  const seconds = (last.atMs! - first.atMs!) / 1000;
  const bytes = last.sent! + last.received! - first.sent! - first.received!;
  return { bytes: bytes / seconds, heartbeats: (last.heartbeats! - first.heartbeats!) / seconds };
}

/** Measures all daemons for `durationMs` under a constant load of `x`. */
async function measurePoint(
  bench: BenchCell,
  x: number,
  durationMs: number,
  load?: ProcessHandle,
): Promise<CostPoint> {
  const { cell } = bench;
  const leader = await cell.findLeader();
  const ids = cell.instanceIds;
  // Reading metrics uses CPU time, so it is done outside of the sampled interval.
  const before = await Promise.all(ids.map((id) => readPeerTotals(bench, id)));
  const fromLine = load?.records.length ?? 0;
  const from = ids.map((id) => sampleProcess(cell.daemons.get(id)!.pid));
  await sleep(durationMs);
  const to = ids.map((id) => sampleProcess(cell.daemons.get(id)!.pid));
  const after = await Promise.all(ids.map((id) => readPeerTotals(bench, id)));
  const costs = ids.map((id, i) => ({
    role: getRole(id, leader, bench),
    cost: computeCost(from[i]!, to[i]!, before[i]!, after[i]!),
  }));
  const roles = Object.fromEntries(
    COST_ROLES.map((role) => [
      role,
      averageCosts(costs.filter((entry) => entry.role === role).map(({ cost }) => cost)),
    ]),
  ) as Record<CostRole, RoleCost>;
  const { bytes, heartbeats } = readEndpointRates(load, fromLine);
  return { x, roles, endpointBytes: bytes, heartbeats };
}

function createSlope(name: string, unit: string, points: CostPoint[]): CostSlope {
  const fit = (read: (point: CostPoint) => number): LinearFit =>
    fitLine(points.map((point): FitPoint => ({ x: point.x, y: read(point) })));
  const fits = Object.fromEntries(
    COST_ROLES.map((role) => [
      role,
      {
        cpu: fit(({ roles }) => roles[role].cpuPercent),
        peerBytes: fit(({ roles }) => roles[role].peerBytes),
        rss: fit(({ roles }) => roles[role].rssMib),
      },
    ]),
  ) as CostSlope['fits'];
  return { name, unit, points, fits, endpointBytes: fit(({ endpointBytes }) => endpointBytes) };
}

/** Starts simulated workers that send heartbeats only to the instances that are not replicas. */
async function startWorkers({ cell, keys }: BenchCell, count: number): Promise<ProcessHandle> {
  const gateways = listGatewayOnlyInstances(cell).map((id) => `--gateway=${cell.url(id)}`);
  const load = new ProcessHandle({
    name: 'workers',
    script: join(import.meta.dirname, 'endpointLoad.js'),
    args: [`--count=${count}`, ...gateways],
    env: { LAGOONGAP_ENDPOINT_KEY: keys.endpoint.secret },
    logFile: join(cell.folder, 'workers.log'),
  });
  await load.waitForRecord((line) => Number(line.heartbeats) >= count, START_TIMEOUT_MS);
  return load;
}

async function measureEndpoints(idle: CostPoint): Promise<CostSlope> {
  const points: CostPoint[] = [idle];
  for (const count of ENDPOINT_COUNTS) {
    const bench = await startBenchCell();
    await using cell = bench.cell;
    await using load = await startWorkers({ ...bench, cell }, count);
    await sleep(SETTLE_DELAY_MS);
    points.push(await measurePoint(bench, count, POINT_DURATION_MS, load));
  }
  return createSlope('endpoints', 'endpoint', points);
}

/**
 * Sends requests at a fixed rate to the instances that are not replicas. Returns a function that
 * stops the load and waits for the pending requests.
 */
function startRequests(bench: BenchCell, rate: number): () => Promise<void> {
  const gateways = listGatewayOnlyInstances(bench.cell);
  const startMs = performance.now();
  const pending = new Set<Promise<boolean>>();
  let sent = 0;
  const timer = setInterval(() => {
    const due = ((performance.now() - startMs) / 1000) * rate;
    for (; sent < due; sent += 1) {
      const call = sendRequest(bench, gateways[sent % gateways.length]!);
      pending.add(call);
      call.finally(() => pending.delete(call)).catch(() => {});
    }
  }, REQUEST_TICK_INTERVAL_MS);
  return async () => {
    clearInterval(timer);
    await Promise.all(pending);
  };
}

async function measureRequests(): Promise<CostSlope> {
  const bench = await startBenchCell();
  await using cell = bench.cell;
  await startRunners({ ...bench, cell }, 4, 16);
  const points = [];
  await sleep(SETTLE_DELAY_MS);
  for (const rate of [0, ...REQUEST_RATES]) {
    const stop = startRequests(bench, rate);
    await sleep(SETTLE_DELAY_MS / 2);
    points.push(await measurePoint(bench, rate, POINT_DURATION_MS));
    await stop();
  }
  return createSlope('requests', 'request/s', points);
}

async function submitTasks({ cell, keys }: BenchCell, count: number): Promise<void> {
  for (let left = count; left > 0; left -= TASKS_PER_JOB) {
    const { status, body } = await cell.call(listGatewayOnlyInstances(cell)[0]!, '/v1/jobs', {
      method: 'POST',
      key: keys.utilities.secret,
      body: {
        kind: 'service',
        queue: 'indexing',
        work: WORK_KIND,
        tasks: Math.min(left, TASKS_PER_JOB),
        size: { cpuMillis: 500, memoryMib: 256 },
      },
    });
    if (status >= 300) throw new Error(`job refused: ${JSON.stringify(body)}`);
  }
}

async function measureTasks(): Promise<CostSlope> {
  const bench = await startBenchCell();
  await using cell = bench.cell;
  await using load = await startWorkers({ ...bench, cell }, TASK_ENDPOINTS);
  const points: CostPoint[] = [];
  let running = 0;
  for (const count of [0, ...TASK_COUNTS]) {
    await submitTasks({ ...bench, cell }, count - running);
    running = count;
    await load.waitForRecord((line) => Number(line.running) >= count, START_TIMEOUT_MS);
    await sleep(SETTLE_DELAY_MS);
    points.push(await measurePoint(bench, count, POINT_DURATION_MS, load));
  }
  return createSlope('tasks', 'running task', points);
}

/** Measures a cell without endpoints or requests. */
export async function measureIdle(): Promise<CostPoint> {
  const bench = await startBenchCell();
  await using cell = bench.cell;
  await sleep(SETTLE_DELAY_MS);
  const point = await measurePoint({ ...bench, cell }, 0, IDLE_DURATION_MS);
  return point;
}

/** Measures the idle cost of each role and its growth with load. */
export async function measureCost(): Promise<{
  tables: BenchTable[];
  figures: Record<string, unknown>;
}> {
  const idle = await measureIdle();
  const endpoints = await measureEndpoints(idle);
  const requests = await measureRequests();
  const tasks = await measureTasks();
  const figures: CostFigures = { idle, endpoints, requests, tasks };
  const slopes = [endpoints, requests, tasks];
  const idleSlope = createSlope('endpoints', 'endpoint', [idle]);
  const size = `${CELL_INSTANCE_COUNT} daemons, ${CELL_REPLICA_COUNT} with a disk`;
  return {
    tables: [
      { ...buildPointsTable(idleSlope), title: `Idle cost, ${size}, no endpoint` },
      ...slopes.map(buildPointsTable),
      buildFitsTable(slopes),
    ],
    figures: { ...figures },
  };
}
