import type { JobState } from '@lagoongap/model/workload.js';
import type { AuditEntry } from '@lagoongap/release-notes/auditTrail.js';

/** Answer to `GET /v1/audit`. */
export interface AuditAnswer {
  entries: AuditEntry[];
}

/** States in which a job stays for good. */
export const FINAL_JOB_STATES: readonly JobState[] = [
  'succeeded',
  'failed',
  'cancelled',
  'impossible',
  'unknown',
];
