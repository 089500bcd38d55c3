import type { BenchRun, BenchTable } from './benchReport.js';
import {
  COST_ROLES,
  type CostFigures,
  type CostRole,
  type CostSlope,
  type RoleCost,
} from './costPoint.js';
import { fitLine, type LinearFit } from './linearFit.js';
import type { RestartFigures } from './restartBench.js';

/** Scale that the design must support; see section 3 of the design page. */
export const TARGET_SCALE = Object.freeze({
  endpoints: 1600,
  startsPerSecond: 320,
  running: 42_000,
  /** Number of instances that may be reserved for the system. */
  instances: 7,
});

/** Number of instances of the measured cell that are not replicas; they share its load evenly. */
const MEASURED_GATEWAYS = 6;

/** Extrapolated costs with the names of their units. */
const COSTS = [
  ['cpuPercent', '% of a core'],
  ['peerBytes', 'peer bytes/s'],
  ['peerMessages', 'peer messages/s'],
  ['rssMib', 'RSS MiB'],
] as const;

/** Share of explained variance (R²) below which an amount is marked as uncertain. */
const MIN_R2 = 0.9;

const GATEWAY_SHARE = MEASURED_GATEWAYS / TARGET_SCALE.instances;

interface Load {
  slope: CostSlope;
  amount: number;
}

/** Fit of one cost of a role along a dimension of load. */
function fitCost({ points }: CostSlope, role: CostRole, cost: keyof RoleCost): LinearFit {
  return fitLine(points.map(({ x, roles }) => ({ x, y: roles[role][cost] })));
}

/** Extrapolates the cost of each role at the target scale from measured slopes. */
export function buildTargetTable({ idle, endpoints, requests, tasks }: CostFigures): BenchTable {
  const loads: Load[] = [
    { slope: endpoints, amount: TARGET_SCALE.endpoints },
    { slope: tasks, amount: TARGET_SCALE.running },
    { slope: requests, amount: TARGET_SCALE.startsPerSecond },
  ];
  const rows = COST_ROLES.flatMap((role) => {
    const share = role === 'gateway' ? GATEWAY_SHARE : 1;
    return COSTS.map(([cost, name]) => {
      const base = idle.roles[role][cost];
      const parts = loads.map(({ slope, amount }) => {
        const fit = fitCost(slope, role, cost);
        // A negative slope is noise and adds no cost.
        return { value: Math.max(0, fit.slope) * amount * share, isReliable: fit.r2 >= MIN_R2 };
      });
      const total = parts.reduce((sum, { value }) => sum + value, base);
      const cells = parts.map(
        ({ value, isReliable }) => `${isReliable ? '' : '~'}${value.toFixed(1)}`,
      );
      return [role, name, base.toFixed(1), ...cells, total.toFixed(1)];
    });
  });
  const perEndpoint =
    endpoints.endpointBytes.slope +
    (tasks.endpointBytes.slope * TARGET_SCALE.running) / TARGET_SCALE.endpoints;
  rows.push([
    'endpoint',
    'HTTP bytes/s of heartbeats',
    '',
    endpoints.endpointBytes.slope.toFixed(1),
    (perEndpoint - endpoints.endpointBytes.slope).toFixed(1),
    '',
    perEndpoint.toFixed(1),
  ]);
  const head = [
    'role',
    'cost',
    'idle',
    `${TARGET_SCALE.endpoints} endpoints add`,
    `${TARGET_SCALE.running} running tasks add`,
    `${TARGET_SCALE.startsPerSecond} starts/s add`,
    'at target size',
  ];
  return {
    title: `Extrapolated to the target size, ${TARGET_SCALE.instances} instances (~: R² below ${MIN_R2})`,
    rows: [head, ...rows],
  };
}

function buildGoalTable({ idle }: CostFigures): BenchTable {
  const { cpuPercent, rssMib, peerBytes } = idle.roles.gateway;
  const row = (name: string, value: number, goal: number): (string | number)[] => [
    name,
    value.toFixed(2),
    goal,
    value <= goal ? 'yes' : 'no',
  ];
  return {
    title: 'Idle gateway against its goal',
    rows: [
      ['cost', 'measured', 'goal', 'within'],
      row('% of a core', cpuPercent, 2.7),
      row('RSS MiB', rssMib, 128),
      row('peer bytes/s', peerBytes, 3000),
    ],
  };
}

/** Snapshot figures per placement record of each measured state. */
function buildStateTable(sizes: RestartFigures[]): BenchTable {
  const rows = sizes.map((size) => [
    size.records,
    ((size.snapshotMib * 1024 * 1024) / size.records).toFixed(0),
    ((size.copyMs * 1000) / size.records).toFixed(2),
    ((size.copyMs * TARGET_SCALE.running) / size.records).toFixed(0),
    ((size.pauseMs * TARGET_SCALE.running) / size.records).toFixed(0),
  ]);
  const head = [
    'measured with records',
    'snapshot bytes per record',
    'copy µs per record',
    `copy ms at ${TARGET_SCALE.running} running`,
    `longest pause ms at ${TARGET_SCALE.running} running`,
  ];
  return { title: 'Durable state per placement record', rows: [head, ...rows] };
}

/** Returns the tables that are derived from the figures of a run. */
export function deriveTables({ reports }: BenchRun): BenchTable[] {
  const cost = reports.find(({ name }) => name === 'cost');
  const restart = reports.find(({ name }) => name === 'restart');
  const tables: BenchTable[] = [];
  if (cost) {
    const figures = cost.figures as unknown as CostFigures;
    tables.push(buildGoalTable(figures), buildTargetTable(figures));
  }
  if (restart) tables.push(buildStateTable(restart.figures.sizes as RestartFigures[]));
  return tables;
}
