import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

/** Kinds of faults that a soak injects from outside the programs under test. */
export const FAULT_KINDS = [
  'kill-replica',
  'kill-leader',
  'freeze-replica',
  'freeze-leader',
  'stop-replica',
  'wipe-replica',
  'tear-log',
  'kill-all-replicas',
  'kill-gateway',
  'freeze-gateway',
  'stop-gateway',
  'reload',
  'crash-endpoint',
  'silence-endpoint',
  'cut-endpoint',
  'half-cut-endpoint',
  'reset-endpoint',
  'lose-answers',
  'late-starts',
  'fail-tasks',
] as const;

/** Kind of an injected fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** Planned injection of one fault. */
export interface PlannedFault {
  kind: FaultKind;
  /** Time from the start of the load in milliseconds. */
  atMs: number;
  /** Duration of the fault in milliseconds. */
  durationMs: number;
  /** Selects the affected process or endpoint; taken modulo their number. */
  target: number;
}

/** Number of faults for one seed. */
const MIN_FAULTS = 4;
const MAX_FAULTS = 9;

const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 3500;
const MAX_TARGET = 1000;

/** Returns the faults of a seed, ordered by start time. Faults may overlap. */
export function planFaults(seed: number, loadMs: number): PlannedFault[] {
  const random = createSeededRandom(seed);
  const drawInteger = (min: number, max: number): number =>
    Math.floor(min + random() * (max - min));
  const count = drawInteger(MIN_FAULTS, MAX_FAULTS + 1);
  const faults = Array.from({ length: count }, () => ({
    kind: FAULT_KINDS[drawInteger(0, FAULT_KINDS.length)]!,
    atMs: drawInteger(0, loadMs),
    durationMs: drawInteger(MIN_DURATION_MS, MAX_DURATION_MS),
    target: drawInteger(0, MAX_TARGET),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}
