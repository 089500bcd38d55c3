/** Limits on what a cell holds, so that what it accepts can be stored and served. */
export interface CellLimits {
  /** Steps of the open jobs of one organisation. */
  maxOrganisationSteps: number;
  /** Steps of all open jobs. */
  maxSteps: number;
  /** Estimated memory of the jobs of one organisation, in bytes; ended ones count until removal. */
  maxOrganisationBytes: number;
  /** Estimated memory of all jobs, in bytes. */
  maxBytes: number;
  /** Registered endpoints. */
  maxEndpoints: number;
  /** Maintenance waves, completed ones included. */
  maxWaves: number;
  /** Length of the names of the instances of all open waves. */
  maxWaveBytes: number;
  /** Estimated memory of the cancellations of unknown jobs by one organisation, in bytes. */
  maxOrganisationCancellationBytes: number;
  /** Estimated memory of all cancellations of unknown jobs, in bytes. */
  maxCancellationBytes: number;
}

/** Parts of the memory of an instance that jobs may take. */
const MEMORY_FRACTION = 0.35;
const ORGANISATION_MEMORY_FRACTION = 0.2;
const ENDPOINT_MEMORY_FRACTION = 0.15;
const WAVE_MEMORY_FRACTION = 0.02;
const CANCELLATION_MEMORY_FRACTION = 0.03;
const ORGANISATION_CANCELLATION_MEMORY_FRACTION = 0.01;

/** A wave a day for 27 years. */
const MAX_WAVES = 10_000;

/** Memory of the leader for an endpoint, with its connections. */
const BYTES_PER_ENDPOINT = 16 * 1024;

/**
 * Several times what hours of ordinary load leave waiting on the largest cell; a scheduling cycle
 * orders that many steps within the time for which a leader may be busy.
 */
const MAX_STEPS = 20_000;
const MAX_ORGANISATION_STEPS = 5000;

/** Derives the limits from the memory of an instance. */
export function computeCellLimits(memoryBytes: number): CellLimits {
  return {
    maxOrganisationSteps: MAX_ORGANISATION_STEPS,
    maxSteps: MAX_STEPS,
    maxOrganisationBytes: Math.floor(memoryBytes * ORGANISATION_MEMORY_FRACTION),
    maxBytes: Math.floor(memoryBytes * MEMORY_FRACTION),
    maxEndpoints: Math.floor((memoryBytes * ENDPOINT_MEMORY_FRACTION) / BYTES_PER_ENDPOINT),
    maxWaves: MAX_WAVES,
    maxWaveBytes: Math.floor(memoryBytes * WAVE_MEMORY_FRACTION),
    maxOrganisationCancellationBytes: Math.floor(
      memoryBytes * ORGANISATION_CANCELLATION_MEMORY_FRACTION,
    ),
    maxCancellationBytes: Math.floor(memoryBytes * CANCELLATION_MEMORY_FRACTION),
  };
}

/** Limits for processes whose memory is not known. */
export const DEFAULT_CELL_LIMITS = computeCellLimits(512 * 1024 * 1024);
