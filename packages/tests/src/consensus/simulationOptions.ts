import type { RaftTiming } from '@lagoongap/consensus/raftTiming.js';

import type { Mutation } from './mutation.js';

/** Faults to inject; rates are per second of simulated time. */
export interface FaultRates {
  crashes: number;
  diskLosses: number;
  /** Power losses of all replicas, right after a commit, that destroy as many disks as tolerated. */
  powerLosses: number;
  pauses: number;
  partitions: number;
  transfers: number;
  memberChanges: number;
  /** Probability that a message is lost. */
  loss: number;
  /** Additional probability that a message with entries is lost. */
  appendLoss: number;
  duplication: number;
  longDelay: number;
}

/** Options of a simulation. */
export interface SimulationOptions {
  replicaCount: number;
  /** Duration of the phase with faults, in simulated time. */
  durationMs: number;
  timing: RaftTiming;
  snapshotEntries: number;
  proposalsPerSecond: number;
  maxWriteMs: number;
  maxMessageEntries: number;
  /** Range of the duration of a pause or partition. */
  faultLengthMs: readonly [number, number];
  /** Range of the time between a crash and the restart. */
  restartMs: readonly [number, number];
  /** Whether a process starts directly after the end of the earlier one and loads the log later. */
  countsBootTime?: boolean;
  faults: FaultRates;
  /** Protocol defect that the checker must detect. */
  mutation?: Mutation;
}

const NO_FAULTS: FaultRates = {
  crashes: 0,
  diskLosses: 0,
  powerLosses: 0,
  pauses: 0,
  partitions: 0,
  transfers: 0,
  memberChanges: 0,
  loss: 0,
  appendLoss: 0,
  duplication: 0,
  longDelay: 0,
};

const DEFAULTS: SimulationOptions = {
  replicaCount: 3,
  durationMs: 5000,
  // Leader validity is as close to the minimum election timeout as clock rates of 0.99 and 1.01
  // permit.
  timing: { heartbeatMs: 100, electionMinMs: 300, electionMaxMs: 600, leaderValidityMs: 293 },
  snapshotEntries: 1000,
  proposalsPerSecond: 20,
  maxWriteMs: 20,
  maxMessageEntries: 8,
  faultLengthMs: [20, 1200],
  restartMs: [20, 1200],
  faults: { ...NO_FAULTS, loss: 0.02, duplication: 0.02, longDelay: 0.02 },
};

/** Kind of schedules. */
export type ScheduleKind =
  | 'unreliable network'
  | 'crashes'
  | 'partitions'
  | 'pauses'
  | 'snapshots'
  | 'lost disks'
  | 'lost disks and power'
  | 'membership'
  | 'transfers'
  | 'leases'
  | 'elections'
  | 'slow starts'
  | 'membership races'
  | 'failover'
  | 'combined';

type Overrides = Partial<Omit<SimulationOptions, 'faults'>> & { faults?: Partial<FaultRates> };

const KINDS: Record<ScheduleKind, Overrides> = {
  'unreliable network': { faults: { loss: 0.2, duplication: 0.2, longDelay: 0.2 } },
  crashes: { faults: { crashes: 1.5 }, maxWriteMs: 60 },
  partitions: { faults: { partitions: 1.5 }, replicaCount: 5, durationMs: 4000 },
  pauses: { faults: { pauses: 1.5, crashes: 0.3 } },
  snapshots: { faults: { crashes: 0.7, partitions: 0.7 }, snapshotEntries: 6 },
  'lost disks': { faults: { crashes: 0.3, diskLosses: 1 }, snapshotEntries: 12 },
  'lost disks and power': {
    faults: { powerLosses: 1, crashes: 0.2, transfers: 0.2 },
    snapshotEntries: 12,
    maxWriteMs: 40,
    restartMs: [20, 600],
  },
  membership: { faults: { memberChanges: 5, crashes: 1.5, partitions: 1.5 }, replicaCount: 4 },
  transfers: { faults: { transfers: 2, partitions: 0.5, pauses: 0.3 } },
  // Proposals are rare, so that a replica that was isolated can still win an election.
  leases: {
    faults: { crashes: 2.5, partitions: 0.7, loss: 0 },
    proposalsPerSecond: 0.3,
    faultLengthMs: [500, 2000],
    restartMs: [2, 40],
    maxWriteMs: 2,
  },
  // Leaders fail before their entries are replicated; each entry is sent in its own message.
  elections: {
    faults: { crashes: 2.5, loss: 0.05, appendLoss: 0.7, longDelay: 0.1 },
    proposalsPerSecond: 5,
    maxMessageEntries: 1,
    maxWriteMs: 60,
    restartMs: [5, 700],
  },
  // Replicas load their log long after the start of their process.
  'slow starts': {
    faults: { crashes: 3, partitions: 0.4, loss: 0.02, appendLoss: 0.3 },
    proposalsPerSecond: 5,
    maxWriteMs: 20,
    restartMs: [5, 900],
    countsBootTime: true,
  },
  // Leaders change the membership immediately, and their entries are rarely replicated.
  'membership races': {
    faults: { memberChanges: 15, crashes: 2, partitions: 0.5, loss: 0.05, appendLoss: 0.6 },
    replicaCount: 4,
    proposalsPerSecond: 0.5,
    maxWriteMs: 5,
    restartMs: [5, 700],
  },
  // A reliable network, so that only timeouts and disks delay an election.
  failover: { faults: { loss: 0, duplication: 0, longDelay: 0 } },
  combined: {
    replicaCount: 5,
    snapshotEntries: 12,
    maxWriteMs: 40,
    faults: {
      crashes: 0.5,
      diskLosses: 0.3,
      pauses: 0.4,
      partitions: 0.5,
      transfers: 0.3,
      memberChanges: 0.3,
      loss: 0.05,
      duplication: 0.05,
      longDelay: 0.05,
    },
  },
};

/** Returns the simulation options for a kind of schedules. */
export function createSimulationOptions(
  kind: ScheduleKind,
  overrides: Overrides = {},
): SimulationOptions {
  const faults = { ...DEFAULTS.faults, ...KINDS[kind].faults, ...overrides.faults };
  return { ...DEFAULTS, ...KINDS[kind], ...overrides, faults };
}
