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
  'lose-power-and-disk',
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
  'change-capacity',
  'crashing-job',
  'odd-heartbeats',
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

/** Probability that a fault is repeated in a series, at one target after the other. */
const SERIES_PROBABILITY = 0.3;
const MAX_SERIES_LENGTH = 4;
const MAX_SERIES_GAP_MS = 600;

const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 3500;

/** Probability and maximum duration of a fault that may outlast a lease. */
const LONG_PROBABILITY = 0.2;
const MAX_LONG_DURATION_MS = 7000;

const MAX_TARGET = 1000;

/** Returns the faults of a seed, ordered by start time. Faults come in series and may overlap. */
export function planFaults(seed: number, loadMs: number): PlannedFault[] {
  const random = createSeededRandom(seed);
  const drawInteger = (min: number, max: number): number =>
    Math.floor(min + random() * (max - min));
  const count = drawInteger(MIN_FAULTS, MAX_FAULTS + 1);
  const faults = Array.from({ length: count }, () => {
    const first: PlannedFault = {
      kind: FAULT_KINDS[drawInteger(0, FAULT_KINDS.length)]!,
      atMs: drawInteger(0, loadMs),
      durationMs: drawInteger(
        MIN_DURATION_MS,
        random() < LONG_PROBABILITY ? MAX_LONG_DURATION_MS : MAX_DURATION_MS,
      ),
      target: drawInteger(0, MAX_TARGET),
    };
    const length = random() < SERIES_PROBABILITY ? drawInteger(2, MAX_SERIES_LENGTH + 1) : 1;
    const gapMs = drawInteger(0, MAX_SERIES_GAP_MS);
    return Array.from({ length }, (_, step) => ({
      ...first,
      atMs: first.atMs + step * gapMs,
      target: first.target + step,
    }));
  }).flat();
  return faults.sort((a, b) => a.atMs - b.atMs);
}
