import type { EndpointKind } from './endpoint.js';
import type { Resources } from './resources.js';
import type { WorkloadKind } from './workload.js';

/** What the holder of a key may do. */
export type KeyRole = 'caller' | 'endpoint' | 'operator';

/** A team that submits work. */
export interface Team {
  name: string;
  /** Weight of the team when the cluster is full. */
  share: number;
  /** Upper limit on what the team has running across the fleet. */
  limit: Partial<Resources> & { tasks?: number };
}

/** An access key; the secret itself is never stored. */
export interface AccessKey {
  id: string;
  /** SHA-256 of the secret, as 64 lower-case hexadecimal digits. */
  hash: string;
  role: KeyRole;
  /** Team of a caller key. */
  team?: string;
}

/** A queue that work is submitted to. */
export interface Queue {
  name: string;
  kind: WorkloadKind;
  /** Takes work from every caller, also without a key. */
  open: boolean;
  /** Teams that may use the queue; all teams if absent. */
  teams?: string[];
  /** Team that is charged for work without a key; only for open queues. */
  chargedTeam?: string;
  /** Larger goes first; 900 and above is urgent. */
  priority: number;
  /** Kinds of work that the queue takes. */
  works: string[];
  /** Most units that may wait. */
  maxWaiting: number;
}

/** Declares which endpoints may take which kinds of work. */
export interface EndpointRule {
  name: string;
  /** Conditions that all must hold; an absent one always holds. */
  match: { kind?: EndpointKind; dataCentre?: string; rack?: string; idPrefix?: string };
  works: string[];
}

/** Configuration in force, the sum of all accepted release notes. */
export interface ClusterConfig {
  /** Number of the newest accepted release note; 0 before the first. */
  number: number;
  teams: Record<string, Team>;
  keys: Record<string, AccessKey>;
  queues: Record<string, Queue>;
  endpointRules: Record<string, EndpointRule>;
}

/** Lowest priority that counts as urgent. */
export const URGENT_PRIORITY = 900;

/** Returns a configuration without any entry. */
export function createEmptyConfig(): ClusterConfig {
  return { number: 0, teams: {}, keys: {}, queues: {}, endpointRules: {} };
}
