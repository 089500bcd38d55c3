import type { JobState } from '@lagoongap/model/workload.js';
import type { AuditEntry } from '@lagoongap/release-notes/auditTrail.js';

/** Response to `GET /v1/audit`. */
export interface AuditResponse {
  entries: AuditEntry[];
}

/** Response to `GET /v1/evacuations`. */
export interface EvacuationsResponse {
  evacuations: {
    dataCentre: string;
    /** ISO 8601. */
    since: string;
  }[];
}

/** States that a job does not leave. */
export const TERMINAL_JOB_STATES: readonly JobState[] = [
  'succeeded',
  'failed',
  'cancelled',
  'impossible',
  'unknown',
];
