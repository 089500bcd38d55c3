import type { ClusterConfig } from './clusterConfig.js';
import type {
  AnnounceAnswer,
  EndpointAnnouncement,
  EndpointHeartbeat,
  EndpointKind,
  EndpointState,
  HeartbeatAnswer,
} from './endpoint.js';
import type { ReleaseNote } from './releaseNote.js';
import type { Resources } from './resources.js';
import type { JobSpec, JobState } from './workload.js';

/** Asks the leader for a placement of a request. Idempotent by `requestId`. */
export interface AcquireParams {
  requestId: string;
  /** Gateway process that will dispatch the attempt: `<instance id>:<boot id>`. */
  owner: string;
  /** Key that came with the request; absent on open queues without a key. */
  keyId?: string;
  queue: string;
  work: string;
  size: Resources;
  noRepeat: boolean;
  /** Time left for the request in milliseconds. */
  deadlineMs: number;
  idempotencyKey?: string;
  /** Endpoints at which earlier attempts failed. */
  excluded: string[];
}

/** A committed placement of a request. */
export interface AcquireResult {
  attempt: string;
  token: number;
  team: string;
  endpointId: string;
  url: string;
}

/** How a gateway saw an attempt end; `unconfirmed` attempts may still run on the endpoint. */
export type ReleaseOutcome = 'succeeded' | 'failed' | 'not-run' | 'unconfirmed';

/** Reports the end of one attempt, or of a request that was given up. */
export interface Release {
  requestId: string;
  /** Absent if the gateway knows of no attempt; a committed one was not dispatched. */
  attempt?: string;
  outcome: ReleaseOutcome;
  /** The gateway asks for no further attempt. */
  final: boolean;
  /** Duration of the exchange with the endpoint. */
  serviceMs?: number;
  /** The endpoint is to blame: it refused, cut off, or answered with a server error. */
  isEndpointFault?: boolean;
}

/** Reports the end of attempts. Idempotent. */
export interface ReleaseParams {
  owner: string;
  releases: Release[];
}

/** Submits a job. */
export interface SubmitJobParams {
  /** Identifier chosen by the gateway, so that a repeated call is recognised. */
  id: string;
  keyId?: string;
  spec: JobSpec;
  idempotencyKey?: string;
}

/** Answer to a submission. */
export interface SubmitJobResult {
  id: string;
  /** The idempotency key was used before; `id` is the job of then. */
  duplicate: boolean;
}

/** Identifies who looks up or cancels work; operators see the work of all teams. */
export interface Viewer {
  keyId?: string;
}

/** Looks up a job or request. */
export interface LookupParams extends Viewer {
  id: string;
  /** Waits this long for the end of the job. */
  waitMs?: number;
}

/** A job as callers see it. */
export interface JobView {
  id: string;
  team: string;
  kind: JobSpec['kind'];
  queue: string;
  work: string;
  state: JobState;
  cancelled: boolean;
  message?: string;
  tasks: {
    state: JobState;
    endpoint?: string;
    attempt?: string;
    failures: number;
    message?: string;
  }[];
}

/** A request as callers see it. */
export interface RequestView {
  id: string;
  team: string;
  queue: string;
  work: string;
  state: JobState;
  attempts: number;
}

/** Cancels jobs. */
export interface CancelParams extends Viewer {
  ids: string[];
}

/** State of each job after a cancellation was accepted. */
export interface CancelResult {
  jobs: { id: string; state: JobState | 'not-found' }[];
}

/** Announces an endpoint. */
export interface AnnounceParams {
  announcement: EndpointAnnouncement;
}

/** Answer to an announcement. */
export type AnnounceResult = AnnounceAnswer;

/** Forwards the heartbeat of an endpoint. */
export interface HeartbeatParams {
  id: string;
  heartbeat: EndpointHeartbeat;
}

/** Answer to a heartbeat. */
export type HeartbeatResult = HeartbeatAnswer;

/** Marks an endpoint as leaving. */
export interface LeaveParams {
  id: string;
}

/** Applies or checks a release note. */
export interface ApplyNoteParams {
  /** Text of the note in TOML. */
  text: string;
  /** Key id of the operator. */
  by: string;
  /** Checks the note without applying it. */
  checkOnly: boolean;
}

/** State of one instance with regard to a release note. */
export interface InstanceForce {
  instance: string;
  /** `fenced` instances take no work until they have the newest configuration. */
  state: 'in-force' | 'fenced' | 'pending';
  /** Newest release note that the instance reported. */
  number: number;
}

/** Answer to an accepted or checked release note. */
export interface ApplyNoteResult {
  status: 'accepted' | 'valid';
  number: number;
  contentHash: string;
}

/** Tells on which instances a release note is in force. */
export interface NoteForceResult {
  number: number;
  contentHash: string;
  inForceEverywhere: boolean;
  instances: InstanceForce[];
}

/** Asks for validity and newer configuration. */
export interface PollParams {
  instance: string;
  bootId: string;
  /** Release note in force at the gateway. */
  number: number;
}

/** Grants validity, counted from the moment at which the poll was sent. */
export interface PollResult {
  leader: string;
  term: number;
  validityMs: number;
  number: number;
  /** Notes after the gateway's number, if they are still kept. */
  notes?: ReleaseNote[];
  /** Whole configuration, if notes do not reach back far enough. */
  config?: ClusterConfig;
}

/** An endpoint as operators see it. */
export interface EndpointStatus {
  id: string;
  kind: EndpointKind;
  dataCentre: string;
  rack: string;
  state: EndpointState;
  ejected: boolean;
  works: string[];
  size: Resources;
  attempts: number;
}

/** Cluster status as operators see it. */
export interface ClusterStatus {
  leader: string;
  term: number;
  /** Newest accepted release note. */
  number: number;
  instances: {
    id: string;
    dataCentre: string;
    roles?: string[];
    /** The leader has a connection to the instance. */
    isReachable: boolean;
    /** The instance has polled recently enough to take work. */
    alive?: boolean;
    validityMs: number;
    /** Newest release note that the instance reported. */
    number: number;
  }[];
  voters: string[];
  learners: string[];
  waiting: number;
  running: number;
  waitingByQueue: Record<string, number>;
  /** Reserved for running work, by team. */
  runningByTeam?: Record<string, Resources & { tasks: number }>;
  teamShares: Record<string, number>;
  packing: Resources;
}

/** A replica that is not a member asks to become one. */
export interface JoinReplicaParams {
  instance: string;
  replicaId: string;
}

/** Answer to a replica that asks to join. */
export interface JoinReplicaResult {
  state: 'learner' | 'voter';
}

/** Removes the replica of an instance that will not come back. */
export interface RemoveReplicaParams {
  instance: string;
}

/** Answer to the removal of a replica; repeating it removes nothing more. */
export interface RemoveReplicaResult {
  instance: string;
  /** Replica ids that this call removed. */
  removed: string[];
  voters: string[];
  learners: string[];
}
