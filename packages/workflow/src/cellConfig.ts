import type { Resources } from '@lagoongap/model/resources.js';

/** Latency of an advisor and validity of its tickets. */
export interface AdvicePolicy {
  /** Fixed latency of a call in milliseconds. */
  decideMs: number;
  /** Additional latency per endpoint in the query in milliseconds. */
  perEndpointMs: number;
  /** Validity of a ticket in milliseconds. */
  validMs: number;
}

/** Regions to which the tasks of a queue are bound. */
export interface RegionLimits {
  /** Sorted. */
  names: string[];
  /** All data centres in these regions. */
  dataCentres: ReadonlySet<string>;
}

/** Queue to which callers submit jobs. */
export interface QueuePolicy {
  name: string;
  host: string;
  pathPrefix: string;
  /** Pool of endpoints that run its tasks. */
  pool: string;
  /** 0 is the highest priority. */
  priority: number;
  /** Number of failed runs after which a task, and with it the job, fails. */
  maxAttempts: number;
  /** Target completion time as a multiple of the estimated duration of the job. */
  stretch: number;
  /** Constant added to the stretched duration in milliseconds. */
  targetMs: number;
  /** Accepts jobs from callers without a key. */
  isOpen: boolean;
  /** Present if an advisor decides which endpoints may run a step. */
  advice?: AdvicePolicy;
  /** Present if its tasks run only on endpoints in certain regions. */
  regions?: RegionLimits;
}

/** Organisation that submits jobs. */
export interface OrganisationPolicy {
  name: string;
  keys: string[];
  /** Relative share of the capacity when the fleet is full. */
  weight: number;
  /** Limit on concurrently used resources; 0 in a dimension means no limit. */
  limit: Resources;
}

/** Properties of the endpoints of a pool. */
export interface PoolPolicy {
  name: string;
  /** Time for which an endpoint is slow after its start in milliseconds; 0 if not known. */
  coldMs: number;
  /** Starts per second that a cold endpoint tolerates; 0 means no limit. */
  coldStartsPerSecond: number;
}

/** Configuration in force. */
export interface CellConfig {
  version: number;
  queues: QueuePolicy[];
  /** Pools without an entry have no known properties. */
  pools?: PoolPolicy[];
  organisations: OrganisationPolicy[];
}

/** Parses a configuration document; throws with the reason if it is invalid. */
export type ConfigParser = (document: string) => CellConfig;
