/** A table of figures. */
export interface BenchTable {
  title: string;
  /** The first row names the columns. */
  rows: (string | number)[][];
}

/** Result of one measurement. */
export interface BenchReport {
  name: string;
  /** Command that repeats the measurement. */
  command: string;
  seconds: number;
  tables: BenchTable[];
  /** Points and fits for programs. */
  figures: Record<string, unknown>;
}

/** What a run of all measurements writes. */
export interface BenchRun {
  date: string;
  machine: { cores: number; model: string; memoryMib: number; node: string };
  /** Load of the machine over the last minute, before and after the run. */
  loadBefore: number;
  loadAfter: number;
  /** Label of a run on a busy machine. */
  label?: string;
  reports: BenchReport[];
  /** Measurements without a result. */
  failed: { name: string; reason: string }[];
}
