import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import {
  EvacuationState,
  type EvacuationResult,
  type EvacuationSnapshot,
} from '@lagoongap/model/evacuationState.js';

import { AttemptTable } from './attemptTable.js';
import type {
  AbandonRequestsCommand,
  AnnounceEndpointCommand,
  ChangeEvacuationCommand,
  Command,
  FinishAttemptsCommand,
  SingleCommand,
  StartAttemptResult,
  StartAttemptsCommand,
  StartedAttempt,
  SubmitJobsCommand,
  WithdrawCrashesCommand,
} from './commands.js';
import { ConfigTable } from './configTable.js';
import { EndpointTable } from './endpointTable.js';
import { IdempotencyIndex } from './idempotencyIndex.js';
import { JobTable } from './jobTable.js';
import { RequestTable } from './requestTable.js';
import { StateError } from './stateError.js';

/** Version of the snapshot format. */
const SNAPSHOT_VERSION = 1;

interface ClusterSnapshot {
  version: number;
  config: ReturnType<ConfigTable['snapshot']>;
  endpoints: ReturnType<EndpointTable['snapshot']>;
  attempts: ReturnType<AttemptTable['snapshot']>;
  jobs: ReturnType<JobTable['snapshot']>;
  requests: ReturnType<RequestTable['snapshot']>;
  /** Absent in snapshots of earlier releases. */
  evacuations?: EvacuationSnapshot;
}

/**
 * Durable state of the cluster. Each replica applies the same commands in the same order, so
 * the transitions are deterministic: they read neither a clock nor random numbers.
 */
export class ClusterState {
  private readonly idempotency = new IdempotencyIndex();
  readonly configTable = new ConfigTable();
  readonly endpoints = new EndpointTable();
  readonly attempts = new AttemptTable();
  readonly jobs = new JobTable(this.idempotency);
  readonly requests = new RequestTable(this.idempotency);
  readonly evacuations = new EvacuationState();

  get config(): ClusterConfig {
    return this.configTable.config;
  }

  /** Returns the first job or request that used an idempotency key of a team. */
  findByIdempotencyKey(team: string, key: string): string | undefined {
    return this.idempotency.find(team, key);
  }

  apply(entry: { index: number; command: unknown }): unknown {
    const command = entry.command as Command;
    if (command.type !== 'batch') return this.applySingle(command, entry.index);
    return command.commands.map((single) => this.applySingle(single, entry.index));
  }

  snapshot(): unknown {
    // Mutable records are copied, as the log writes the snapshot while later commands are applied.
    const snapshot: ClusterSnapshot = {
      version: SNAPSHOT_VERSION,
      config: this.configTable.snapshot(),
      endpoints: this.endpoints.snapshot(),
      attempts: this.attempts.snapshot(),
      jobs: this.jobs.snapshot(),
      requests: this.requests.snapshot(),
      evacuations: this.evacuations.snapshot(),
    };
    return snapshot;
  }

  restore(data: unknown): void {
    // The log keeps the snapshot to send it to other replicas, so mutable records are copied.
    const snapshot = data as ClusterSnapshot;
    if (snapshot.version !== SNAPSHOT_VERSION) {
      throw new StateError(
        `snapshot has format version ${snapshot.version}, expected ${SNAPSHOT_VERSION}`,
      );
    }
    this.idempotency.clear();
    this.configTable.restore(snapshot.config);
    this.endpoints.restore(snapshot.endpoints);
    this.attempts.restore(snapshot.attempts);
    this.jobs.restore(snapshot.jobs);
    this.requests.restore(snapshot.requests);
    this.evacuations.restore(snapshot.evacuations);
  }

  private applySingle(command: SingleCommand, index: number): unknown {
    switch (command.type) {
      case 'apply-note':
        return this.configTable.apply(command);
      case 'refuse-note':
        return this.configTable.recordRefusedNote(command);
      case 'submit-jobs':
        return this.submitJobs(command);
      case 'cancel-jobs':
        return this.jobs.cancel(command, (queue) => this.isQueueOpen(queue));
      case 'reject-jobs':
        return this.jobs.reject(command);
      case 'start-attempts':
        return this.startAttempts(command, index);
      case 'finish-attempts':
        return this.finishAttempts(command);
      case 'withdraw-crashes':
        return this.withdrawCrashes(command);
      case 'abandon-requests':
        return this.abandonRequests(command);
      case 'announce-endpoint':
        return this.announceEndpoint(command);
      case 'leave-endpoint':
        return this.endpoints.markLeaving(command.id);
      case 'remove-endpoint':
        return this.removeEndpoint(command.id);
      case 'change-evacuation':
        return this.changeEvacuation(command);
      default:
        throw new StateError(`unknown command type ${(command as { type: string }).type}`);
    }
  }

  /** Returns whether nothing may start on an endpoint, as its data centre is evacuated. */
  isEvacuated(endpointId: string): boolean {
    const announcement = this.endpoints.get(endpointId)?.announcement;
    return announcement !== undefined && this.evacuations.has(announcement.dataCentre);
  }

  private changeEvacuation(command: ChangeEvacuationCommand): EvacuationResult {
    const { dataCentre } = command.change;
    const wasEvacuated = this.evacuations.has(dataCentre);
    const result = this.evacuations.apply(command.change);
    const isEvacuated = this.evacuations.has(dataCentre);
    if (wasEvacuated !== isEvacuated) this.configTable.auditEvacuation(command, isEvacuated);
    return result;
  }

  private submitJobs(command: SubmitJobsCommand): unknown {
    return command.jobs.map((job) =>
      this.jobs.submit(job, this.isQueueOpen(job.spec.queue), command.wallTime),
    );
  }

  private isQueueOpen(queue: string): boolean {
    return this.config.queues[queue]?.open === true;
  }

  private announceEndpoint(command: AnnounceEndpointCommand): void {
    const { id } = command.announcement;
    if (this.endpoints.get(id)?.leaving) this.attempts.clearSessions(id);
    this.endpoints.announce(command);
  }

  private removeEndpoint(id: string): boolean {
    if (this.attempts.listByEndpoint(id).size > 0) return false;
    this.endpoints.remove(id);
    return true;
  }

  private startAttempts(command: StartAttemptsCommand, index: number): StartAttemptResult[] {
    const refusedGangs = this.findRefusedGangs(command.attempts);
    return command.attempts.map((attempt) =>
      refusedGangs.has(attempt.unitId) ? { status: 'obsolete' } : this.startAttempt(attempt, index),
    );
  }

  /** Returns the gangs that must not start, as a gang starts with all its tasks or not at all. */
  private findRefusedGangs(attempts: StartedAttempt[]): Set<string> {
    const refused = new Set<string>();
    for (const attempt of attempts) {
      const isRefused =
        attempt.kind === 'gang' && !this.jobs.canStart(attempt.unitId, attempt.taskIndex);
      if (isRefused) refused.add(attempt.unitId);
    }
    return refused;
  }

  private startAttempt(started: StartedAttempt, token: number): StartAttemptResult {
    const { idempotencyKey, ...fields } = started;
    if (this.attempts.get(started.id)) return { status: 'obsolete' };
    const session = this.endpoints.get(started.endpointId)?.session;
    const attempt = { ...fields, token, session };
    if (started.kind !== 'request') {
      if (!this.jobs.canStart(started.unitId, started.taskIndex)) return { status: 'obsolete' };
      this.jobs.start(attempt);
    } else {
      const duplicate = this.requests.findDuplicate(started);
      if (duplicate !== undefined) return { status: 'duplicate', id: duplicate };
      if (!this.requests.canStart(started.unitId)) return { status: 'obsolete' };
      this.requests.start(attempt, idempotencyKey);
    }
    this.attempts.add(attempt);
    return { status: 'started', token };
  }

  private abandonRequests(command: AbandonRequestsCommand): void {
    for (const id of command.requests) {
      this.requests.abandon(id, command.state, command.wallTime);
    }
  }

  private withdrawCrashes(command: WithdrawCrashesCommand): void {
    for (const { id, unitId, kind, taskIndex } of command.attempts) {
      if (kind === 'request') this.requests.withdrawCrash(unitId, id);
      else this.jobs.withdrawCrash(unitId, taskIndex, id);
    }
  }

  /** Returns for each attempt whether it was still running. */
  private finishAttempts(command: FinishAttemptsCommand): boolean[] {
    return command.finished.map((finished) => {
      const attempt = this.attempts.remove(finished.attempt);
      if (!attempt) return false;
      const table = attempt.kind === 'request' ? this.requests : this.jobs;
      table.finish(attempt, finished, command.wallTime);
      return true;
    });
  }
}
