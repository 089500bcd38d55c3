import type { LinearFit } from './linearFit.js';

/** Roles whose cost is told apart. */
export const COST_ROLES = ['leader', 'follower', 'gateway'] as const;

/** Role of an instance in a measurement. */
export type CostRole = (typeof COST_ROLES)[number];

/** Cost of a role, the mean of its instances. */
export interface RoleCost {
  /** Percent of one core. */
  cpuPercent: number;
  rssMib: number;
  peakMib: number;
  /** Bytes a second exchanged with other instances, both directions. */
  peerBytes: number;
  /** Messages a second exchanged with other instances, both directions. */
  peerMessages: number;
}

/** Cost of all roles at one load. */
export interface CostPoint {
  x: number;
  roles: Record<CostRole, RoleCost>;
  /** Bytes a second between all endpoints and their gateways, both directions. */
  endpointBytes: number;
  heartbeats: number;
}

/** A series of points along one dimension of load, with the fitted lines. */
export interface CostSlope {
  name: string;
  unit: string;
  points: CostPoint[];
  fits: Record<CostRole, { cpu: LinearFit; peerBytes: LinearFit; rss: LinearFit }>;
  endpointBytes: LinearFit;
}

/** Figures of {@link measureCost}. */
export interface CostFigures {
  idle: CostPoint;
  endpoints: CostSlope;
  requests: CostSlope;
  tasks: CostSlope;
}
