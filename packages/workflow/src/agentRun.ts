import type { TaskRef } from './jobSpec.js';

/**
 * Phase of a run on an endpoint: `ordered` while the start order is in flight, `unsettled` if the
 * order may or may not have arrived, `running` once the run is confirmed or adopted.
 */
export type RunPhase = 'ordered' | 'unsettled' | 'running';

/** A run that is assigned to an endpoint. */
export interface AgentRun {
  /** Unique name of the run: `<task name>:<run number>`. */
  key: string;
  name: string;
  task: TaskRef;
  run: number;
  phase: RunPhase;
  /**
   * Monotonic time of confirmation; later inspections must list the run. Absent until then, and if
   * an earlier leader has started the run.
   */
  confirmedMs?: number;
  /** The endpoint reported in its latest response that the run does its full work. */
  isAtWork: boolean;
  /** Monotonic time of the start order. */
  orderedMs: number;
  isStopping: boolean;
  /** A stop order was accepted, so the run cannot start any more. */
  isStopped: boolean;
  /** Rough estimate of the duration in milliseconds. */
  estimateMs: number;
  /** Latest checkpoint. */
  checkpoint: string;
}
