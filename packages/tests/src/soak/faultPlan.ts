/** Faults that a soak injects from outside the programs. */
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

/** Kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a plan. */
export interface PlannedFault {
  kind: FaultKind;
  /** Time from the start of the load in milliseconds. */
  atMs: number;
  /** Time until it is over in milliseconds. */
  durationMs: number;
  /** Picks the process or endpoint that is hit; taken modulo their number. */
  target: number;
}

/** Faults of one seed. */
const MIN_FAULTS = 4;
const MAX_FAULTS = 9;

const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 3500;
const MAX_TARGET = 1000;

/** Returns a generator of numbers in [0, 1) that depends on the seed alone (mulberry32). */
export function createRandom(seed: number): () => number {
  let state = seed;
  /* eslint-disable no-bitwise */
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
  /* eslint-enable no-bitwise */
}

/** Returns the faults of a seed in the order of their times; they come in series and overlap. */
export function planFaults(seed: number, loadMs: number): PlannedFault[] {
  const random = createRandom(seed);
  const between = (min: number, max: number): number => Math.floor(min + random() * (max - min));
  const count = between(MIN_FAULTS, MAX_FAULTS + 1);
  const faults = Array.from({ length: count }, () => ({
    kind: FAULT_KINDS[between(0, FAULT_KINDS.length)]!,
    atMs: between(0, loadMs),
    durationMs: between(MIN_DURATION_MS, MAX_DURATION_MS),
    target: between(0, MAX_TARGET),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}
