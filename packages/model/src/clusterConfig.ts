import type { EndpointKind } from './endpoint.js';
import type { Resources } from './resources.js';
import type { WorkloadKind } from './workload.js';

/** Role that an access key grants to its holder. */
export type KeyRole = 'caller' | 'endpoint' | 'operator';

/** A team that submits work. */
export interface Team {
  name: string;
  /** Fair-share weight of the team when demand exceeds the capacity of the cluster. */
  share: number;
  /** Upper limit on the resources and tasks that the team has running across the fleet. */
  limit: Partial<Resources> & { tasks?: number };
}

/** An access key. The secret itself is never stored, only its hash. */
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
  /** Whether the queue accepts work from any caller, including callers without a key. */
  open: boolean;
  /** Teams that may use the queue; all teams if absent. */
  teams?: string[];
  /** Team that is charged for work without a key; only for open queues. */
  chargedTeam?: string;
  /** Larger values are scheduled first; see {@link URGENT_PRIORITY}. */
  priority: number;
  /** Kinds of work that the queue accepts. */
  works: string[];
  /** Maximum number of waiting work units. */
  maxWaiting: number;
}

/** Grants kinds of work to the endpoints that it matches. */
export interface EndpointRule {
  name: string;
  /** Conditions that must all hold; an absent condition always holds. */
  match: { kind?: EndpointKind; dataCentre?: string; rack?: string; idPrefix?: string };
  works: string[];
}

/** Configuration in force: the result of applying all accepted release notes in order. */
export interface ClusterConfig {
  /** Number of the latest accepted release note; 0 before the first. */
  number: number;
  teams: Record<string, Team>;
  keys: Record<string, AccessKey>;
  queues: Record<string, Queue>;
  endpointRules: Record<string, EndpointRule>;
}

/** Lowest priority that is treated as urgent. */
export const URGENT_PRIORITY = 900;

/** Returns a configuration without entries. */
export function createEmptyConfig(): ClusterConfig {
  return { number: 0, teams: {}, keys: {}, queues: {}, endpointRules: {} };
}
