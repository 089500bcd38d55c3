import type { Resources } from '@lagoongap/model/resources.js';

/** Cost and lifetime of an advisor's answer. */
export interface AdvicePolicy {
  /** Fixed time of a call in milliseconds. */
  decideMs: number;
  /** Additional time for each endpoint named in milliseconds. */
  perEndpointMs: number;
  /** Time for which a ticket holds in milliseconds. */
  validMs: number;
}

/** A queue that callers hand jobs to. */
export interface QueuePolicy {
  name: string;
  host: string;
  pathPrefix: string;
  /** Pool of endpoints that run its tasks. */
  pool: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Failed runs after which a task is given up. */
  maxAttempts: number;
  /** Factor of the ideal duration within which a job should be completed. */
  stretch: number;
  /** Time added to the stretched duration in milliseconds. */
  targetMs: number;
  /** Takes work from callers without a key. */
  isOpen: boolean;
  /** Present if only an advisor knows which endpoints may run a step. */
  advice?: AdvicePolicy;
}

/** An organisation that submits work. */
export interface OrganisationPolicy {
  name: string;
  keys: string[];
  /** Share when everything is full. */
  weight: number;
  /** Most that may run at once; 0 in a dimension means no limit. */
  limit: Resources;
}

/** Configuration in force. */
export interface CellConfig {
  version: number;
  queues: QueuePolicy[];
  organisations: OrganisationPolicy[];
}

/** Reads a configuration document; throws with the reason if it is invalid. */
export type ConfigReader = (document: string) => CellConfig;
