/** Table of results. */
export interface BenchTable {
  title: string;
  /** The first row contains the column names. */
  rows: (string | number)[][];
}

/** Result of one measurement. */
export interface BenchReport {
  name: string;
  /** Command that reproduces the measurement. */
  command: string;
  seconds: number;
  tables: BenchTable[];
  /** Machine-readable results, such as points and fits. */
  figures: Record<string, unknown>;
}

/** Output of a run of all measurements. */
export interface BenchRun {
  date: string;
  machine: { cores: number; model: string; memoryMib: number; node: string };
  /** One-minute load average of the machine, before and after the run. */
  loadBefore: number;
  loadAfter: number;
  /** Remark on the run, for instance that the machine was busy. */
  label?: string;
  reports: BenchReport[];
  /** Measurements that failed. */
  failed: { name: string; reason: string }[];
}
