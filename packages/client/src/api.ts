import type { EndpointAnnouncement, EndpointState } from '@lagoongap/model/endpoint.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { JobKind, JobState, WorkloadKind } from '@lagoongap/model/workload.js';
import type { AuditEntry } from '@lagoongap/release-notes/auditTrail.js';

/** Answer to `POST /v1/notes`. */
export interface NoteAnswer {
  number: number;
  contentHash: string;
}

/** One instance in the answer to `GET /v1/status`. */
export interface InstanceStatus {
  id: string;
  dataCentre: string;
  roles: string[];
  /** Whether the leader has heard from the instance within its validity. */
  alive: boolean;
  draining?: boolean;
  /** Number of the note in force on the instance. */
  configNumber: number;
}

/** Use of the cluster by one team in the answer to `GET /v1/status`. */
export interface TeamStatus {
  name: string;
  running: Partial<Resources> & { tasks?: number };
  waiting: number;
}

/** One queue in the answer to `GET /v1/status`. */
export interface QueueStatus {
  name: string;
  kind: WorkloadKind;
  waiting: number;
}

/** Answer to `GET /v1/status`. */
export interface ClusterStatus {
  leaderId?: string;
  term: number;
  configNumber: number;
  instances: InstanceStatus[];
  teams?: TeamStatus[];
  queues?: QueueStatus[];
}

/** One endpoint in the answer to `GET /v1/endpoints`. */
export type EndpointStatus = EndpointAnnouncement & { state: EndpointState; running?: number };

/** Answer to `GET /v1/endpoints`. */
export interface EndpointList {
  endpoints: EndpointStatus[];
}

/** Answer to `POST /v1/jobs` and `GET /v1/jobs/{id}`. */
export interface JobAnswer {
  id: string;
  kind: JobKind;
  team: string;
  queue: string;
  state: JobState;
  /** Why a job failed or can never run. */
  reason?: string;
  tasks?: { index: number; state: JobState; endpointId?: string }[];
}

/** Answer to `POST /v1/jobs/cancel`. */
export interface CancelAnswer {
  cancelled: string[];
  /** Jobs that had ended or are not known, by identifier. */
  refused?: { id: string; message: string }[];
}

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
