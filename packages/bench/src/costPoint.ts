import type { LinearFit } from './linearFit.js';

/** Roles whose costs are measured separately. */
export const COST_ROLES = ['leader', 'follower', 'gateway'] as const;

/** Role of an instance in a measurement. */
export type CostRole = (typeof COST_ROLES)[number];

/** Mean cost of the instances of a role. */
export interface RoleCost {
  /** Percent of one core. */
  cpuPercent: number;
  rssMib: number;
  peakMib: number;
  /** Bytes per second exchanged with other instances, both directions. */
  peerBytes: number;
  /** Messages per second exchanged with other instances, both directions. */
  peerMessages: number;
}

/** Cost of all roles at one level of load. */
export interface CostPoint {
  x: number;
  roles: Record<CostRole, RoleCost>;
  /** Bytes per second between all endpoints and their gateways, both directions. */
  endpointBytes: number;
  heartbeats: number;
}

/** Series of points along one dimension of load, with the fitted lines. */
export interface CostSlope {
  name: string;
  unit: string;
  points: CostPoint[];
  fits: Record<CostRole, { cpu: LinearFit; peerBytes: LinearFit; rss: LinearFit }>;
  endpointBytes: LinearFit;
}

/** Results of {@link measureCost}. */
export interface CostFigures {
  idle: CostPoint;
  endpoints: CostSlope;
  requests: CostSlope;
  tasks: CostSlope;
}
