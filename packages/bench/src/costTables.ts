import type { BenchTable } from './benchReport.js';
import { COST_ROLES, type CostSlope } from './costPoint.js';
import type { LinearFit } from './linearFit.js';

function formatFit(
  role: string,
  what: string,
  unit: string,
  fit: LinearFit,
  count: number,
): (string | number)[] {
  const { slope, intercept, r2, maxResidual } = fit;
  return [
    role,
    what,
    unit,
    slope.toPrecision(3),
    intercept.toPrecision(3),
    r2.toFixed(3),
    maxResidual.toPrecision(3),
    count,
  ];
}

/** Returns the table of the measured points of a slope. */
export function buildPointsTable({ name, unit, points }: CostSlope): BenchTable {
  const rows = points.flatMap((point) =>
    COST_ROLES.map((role) => {
      const cost = point.roles[role];
      return [
        point.x,
        role,
        cost.cpuPercent.toFixed(2),
        cost.rssMib.toFixed(0),
        cost.peakMib.toFixed(0),
        cost.peerBytes.toFixed(0),
        cost.peerMessages.toFixed(1),
        point.endpointBytes.toFixed(0),
      ];
    }),
  );
  const head = [
    name,
    'role',
    '% of a core',
    'RSS MiB',
    'peak MiB',
    'peer bytes/s',
    'peer messages/s',
    'endpoint bytes/s, all',
  ];
  return {
    title: `Cost against ${unit === 'request/s' ? 'requests a second' : name}`,
    rows: [head, ...rows],
  };
}

/** Returns the table of the fitted lines. */
export function buildFitsTable(slopes: CostSlope[]): BenchTable {
  const rows = slopes.flatMap(({ unit, fits, points, endpointBytes }) => [
    ...COST_ROLES.flatMap((role) =>
      (
        [
          ['% of a core', fits[role].cpu],
          ['peer bytes/s', fits[role].peerBytes],
          ['RSS MiB', fits[role].rss],
        ] as const
      ).map(([what, fit]) => formatFit(role, what, unit, fit, points.length)),
    ),
    ...(unit === 'request/s'
      ? []
      : [formatFit('all endpoints', 'HTTP bytes/s', unit, endpointBytes, points.length)]),
  ]);
  const head = ['role', 'cost', 'per', 'slope', 'intercept', 'R²', 'largest residual', 'points'];
  return { title: 'Fitted slopes', rows: [head, ...rows] };
}
