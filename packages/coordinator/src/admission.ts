import type { ClusterConfig, Queue } from '@lagoongap/model/clusterConfig.js';
import type { RefusalType } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkloadKind } from '@lagoongap/model/workload.js';

/** Input of {@link admit}. */
export interface AdmissionRequest {
  keyId?: string;
  queue: string;
  work: string;
  kind: WorkloadKind;
  size: Resources;
  tasks: number;
  /** Number of units that are waiting in the queue. */
  waiting: number;
}

/** Team and priority under which work is admitted. */
export interface AdmissionResult {
  team: string;
  priority: number;
}

/** Retry delay that a caller is given when the queue is full. */
const FULL_QUEUE_RETRY_MS = 1000;

function refuse(type: RefusalType, message: string, retryAfterMs?: number): never {
  throw new RefusalError({ type, runState: 'not-run', message, retryAfterMs });
}

/**
 * Returns the team that is charged for the work: the team of the key if there is one, also on
 * open queues. Without a key, only open queues accept work; they charge their own team.
 */
export function resolveTeam(
  config: ClusterConfig,
  keyId: string | undefined,
  queue: Queue,
): string {
  if (keyId === undefined) {
    if (!queue.open || queue.chargedTeam === undefined) {
      refuse('unauthenticated', `queue ${queue.name} requires a key`);
    }
    return queue.chargedTeam;
  }
  const key = config.keys[keyId];
  if (!key) refuse('unauthenticated', 'the key is unknown or has been withdrawn');
  if (key.role !== 'caller' || key.team === undefined) {
    refuse('forbidden', `a key with the role ${key.role} cannot submit work`);
  }
  if (!queue.open && queue.teams && !queue.teams.includes(key.team)) {
    refuse('forbidden', `queue ${queue.name} does not accept work of team ${key.team}`);
  }
  return key.team;
}

/**
 * Checks work against the configuration in force.
 *
 * @throws {RefusalError} with run state `not-run` if the work is not admitted.
 */
export function admit(config: ClusterConfig, req: AdmissionRequest): AdmissionResult {
  const queue = Object.hasOwn(config.queues, req.queue) ? config.queues[req.queue] : undefined;
  if (!queue) refuse('not-found', `there is no queue ${req.queue}`);
  const team = resolveTeam(config, req.keyId, queue);
  if (queue.kind !== req.kind) {
    refuse('invalid-input', `queue ${queue.name} accepts ${queue.kind} work, not ${req.kind} work`);
  }
  if (!queue.works.includes(req.work)) {
    refuse('invalid-input', `queue ${queue.name} does not accept the kind of work ${req.work}`);
  }
  if (!config.teams[team]) refuse('forbidden', `team ${team} does not exist`);
  if (req.waiting + req.tasks > queue.maxWaiting) {
    refuse('queue-full', `queue ${queue.name} is full`, FULL_QUEUE_RETRY_MS);
  }
  return { team, priority: queue.priority };
}
