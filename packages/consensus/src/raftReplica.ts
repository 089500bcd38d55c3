import type { LogEntry, StoredLog } from '@lagoongap/storage/logStore.js';
import { toError } from '@lagoongap/model/toError.js';

import { bootstrapWrite, hasHistory, isStoredLogEmpty, storedLogHasHistory } from './bootstrap.js';
import { ClusterDiscovery, isBootstrapMessage, type BootstrapMessage } from './clusterDiscovery.js';
import { ConsensusError } from './consensusError.js';
import type { MembershipChange } from './membershipChange.js';
import { NotLeaderError } from './notLeaderError.js';
import { PendingProposals } from './pendingProposals.js';
import { ProposalBatcher } from './proposalBatcher.js';
import { RaftCore } from './raftCore.js';
import type { RaftEffect } from './raftEffect.js';
import type { RaftMessage } from './raftMessage.js';
import type { RaftReplicaOptions } from './raftReplicaOptions.js';
import { DEFAULT_TIMING, type RaftTiming } from './raftTiming.js';
import { bootstrapReplicaId, createReplicaId, instanceIdOf } from './replicaId.js';
import type {
  Membership,
  ProposeResult,
  ReplicaRole,
  ReplicatedLog,
  RoleChange,
} from './replicatedLog.js';
import { StoreQueue } from './storeQueue.js';

/** Default number of applied entries between two snapshots. */
const DEFAULT_SNAPSHOT_ENTRIES = 10_000;

/** Ticks per heartbeat interval; limits the delay of a heartbeat to a quarter of the interval. */
const TICKS_PER_HEARTBEAT = 4;

/** Timeout of a leadership transfer, as a multiple of the maximum election timeout. */
const TRANSFER_TIMEOUT_FACTOR = 3;

/**
 * Runs a {@link RaftCore} with a real clock, a log store and a transport. The effects of all inputs
 * in one event-loop iteration are executed at its end, so that the proposals of an iteration share
 * one write and one message per member.
 */
export class RaftReplica implements ReplicatedLog {
  private readonly timing: RaftTiming;
  private readonly random: () => number;
  private readonly proposals = new PendingProposals();
  private readonly proposalBatcher: ProposalBatcher;
  private readonly listeners = new Set<(change: RoleChange) => void>();
  private readonly storeQueue: StoreQueue;
  private readonly unsubscribe: () => void;
  private core: RaftCore | undefined;
  private starting: Promise<void> | undefined;
  private stored: StoredLog | undefined;
  private discovery: ClusterDiscovery | undefined;
  private tickTimer: NodeJS.Timeout | undefined;
  private lastApplied = 0;
  private isEffectRunScheduled = false;
  private isStopped = false;

  /** Creates a replica that stays inactive until `start` is called. */
  constructor(private readonly opts: RaftReplicaOptions) {
    this.timing = opts.timing ?? DEFAULT_TIMING;
    this.random = opts.random ?? Math.random;
    this.proposalBatcher = new ProposalBatcher(opts.batchIntervalMs ?? 0, () =>
      this.scheduleEffects(),
    );
    this.storeQueue = new StoreQueue(opts.store, (err) => this.fail(err));
    this.unsubscribe = opts.transport.onMessage((message) => this.receive(message));
  }

  /**
   * Loads the log and starts the protocol. With an empty store and `bootstrapVoters`, waits until
   * enough of the other initial voters have responded. Rejects with ConsensusError if the store
   * fails; resolves without effect if the replica is disposed of meanwhile.
   */
  async start(): Promise<void> {
    this.starting = this.load();
    try {
      await this.starting;
    } catch (err) {
      const error = new ConsensusError('the replica failed to start', { cause: toError(err) });
      this.stop(error);
      throw error;
    }
  }

  /** Replica id; undefined until `start` has loaded or created it. */
  get replicaId(): string | undefined {
    return this.core?.replicaId;
  }

  get role(): ReplicaRole {
    if (this.core === undefined) return 'learner';
    return this.isStopped && this.core.role === 'leader' ? 'follower' : this.core.role;
  }

  get term(): number {
    return this.core?.term ?? 0;
  }

  get leaderId(): string | undefined {
    return this.isStopped ? undefined : this.core?.leaderId;
  }

  get predecessorEndMs(): number | undefined {
    return this.core?.predecessorEndMs;
  }

  get appliedIndex(): number {
    return this.lastApplied;
  }

  async propose(command: unknown): Promise<ProposeResult> {
    const appended = await this.proposalBatcher.append(this.requireCore(), command);
    return this.proposals.waitFor(appended);
  }

  isLeaderValid(): boolean {
    if (this.core === undefined || this.isStopped) return false;
    return this.core.isLeaderValid(performance.now());
  }

  get quorumContactMs(): number {
    return this.core?.quorumContactMs ?? -Infinity;
  }

  /** Rejects with NotLeaderError if this replica is not the leader or loses leadership. */
  async whenReadyToLead(): Promise<void> {
    const { termStartIndex, term } = this.requireCore();
    if (termStartIndex === undefined) throw new NotLeaderError(this.leaderId);
    if (this.lastApplied >= termStartIndex) return;
    try {
      await this.proposals.waitFor({ index: termStartIndex, term });
    } catch {
      throw new NotLeaderError(this.leaderId);
    }
  }

  onRoleChange(listener: (change: RoleChange) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Returns the members in effect, by replica id. */
  members(): Membership {
    const { voters, learners } = this.core?.membership ?? { voters: [], learners: [] };
    return { voters: [...voters], learners: [...learners] };
  }

  async addLearner(replicaId: string): Promise<void> {
    await this.changeMembership({ type: 'add-learner', replicaId });
  }

  /** Rejects with MembershipChangeError unless the learner has caught up. */
  async promote(replicaId: string): Promise<void> {
    await this.changeMembership({ type: 'promote', replicaId });
  }

  async removeMember(replicaId: string): Promise<void> {
    await this.changeMembership({ type: 'remove', replicaId });
  }

  /** Returns whether a learner has caught up and its log is durable; always false on followers. */
  isCaughtUp(replicaId: string): boolean {
    return !this.isStopped && (this.core?.isCaughtUp(replicaId) ?? false);
  }

  /**
   * Resolves once a new leader is known. Rejects with NotLeaderError, MembershipChangeError, or
   * ConsensusError if the transfer fails.
   *
   * @param to - Replica id or instance id of a voter.
   */
  async transferLeadership(to?: string): Promise<void> {
    const core = this.requireCore();
    const { term } = core;
    const target = core.membership.voters.find((id) => id === to || instanceIdOf(id) === to);
    core.transferLeadership(target ?? to, performance.now());
    this.scheduleEffects();
    await this.waitForNextLeader(term);
  }

  /** Stops the replica; pending proposals are rejected with CommitUnknownError. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    await this.starting?.catch(() => undefined);
    await this.storeQueue.whenIdle();
  }

  private async load(): Promise<void> {
    const stored = await this.opts.store.load();
    this.stored = stored;
    await this.establishIdentity(stored);
    const { replicaId, hardState, snapshot, entries } = stored;
    if (this.isStopped || replicaId === undefined) return;
    this.core = new RaftCore({
      replicaId,
      timing: this.timing,
      random: this.random,
      snapshotEntries: this.opts.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES,
      snapshotLength: this.opts.snapshotLength,
      hardState,
      snapshot,
      entries,
      nowMs: performance.now(),
      processStartMs: this.opts.processStartMs,
    });
    if (snapshot !== undefined) {
      this.opts.stateMachine.restore(snapshot.data);
      this.lastApplied = snapshot.index;
    }
    this.tickTimer = setInterval(() => this.tick(), this.timing.heartbeatMs / TICKS_PER_HEARTBEAT);
  }

  private async establishIdentity(stored: StoredLog): Promise<void> {
    const { instanceId, bootstrapVoters = [], store } = this.opts;
    const ownBootstrapId = bootstrapReplicaId(instanceId);
    const isInitialVoter = bootstrapVoters.includes(instanceId);
    if (stored.replicaId === undefined) {
      const mayBootstrap = isInitialVoter && !(await this.clusterExists(bootstrapVoters));
      if (this.isStopped) return;
      const replicaId = mayBootstrap ? ownBootstrapId : createReplicaId(instanceId, this.random);
      await store.writeIdentity(replicaId);
      stored.replicaId = replicaId;
    }
    // This also completes a bootstrap that a crash interrupted; a replica without a term never
    // voted.
    if (isInitialVoter && stored.replicaId === ownBootstrapId && isStoredLogEmpty(stored)) {
      const write = bootstrapWrite(bootstrapVoters);
      await store.write(write);
      stored.hardState = write.hardState;
      stored.entries = write.entries;
    }
  }

  private async clusterExists(voters: string[]): Promise<boolean> {
    this.discovery = new ClusterDiscovery(this.opts.instanceId, voters, this.opts.transport);
    return this.discovery.clusterExists();
  }

  private async changeMembership(change: MembershipChange): Promise<void> {
    const appended = this.requireCore().proposeMembership(change, performance.now());
    this.scheduleEffects();
    await this.proposals.waitFor(appended);
  }

  private async waitForNextLeader(term: number): Promise<void> {
    const waitMs = this.timing.electionMaxMs * TRANSFER_TIMEOUT_FACTOR;
    let timer: NodeJS.Timeout | undefined;
    let unsubscribe: () => void = () => undefined;
    try {
      await new Promise<void>((resolve, reject) => {
        const onTimeout = () => reject(new ConsensusError('leadership transfer timed out'));
        timer = setTimeout(onTimeout, waitMs);
        unsubscribe = this.onRoleChange(({ role, term: newTerm, leaderId }) => {
          if (this.isStopped) reject(new ConsensusError('the replica was stopped'));
          if (newTerm > term && role !== 'leader' && leaderId !== undefined) resolve();
        });
      });
    } finally {
      clearTimeout(timer);
      unsubscribe();
    }
  }

  private requireCore(): RaftCore {
    if (this.core === undefined || this.isStopped) throw new NotLeaderError();
    return this.core;
  }

  /** Heartbeats leave before the input of this iteration, which may take long to process. */
  private tick(): void {
    this.handleInput((core) => core.tick(performance.now()));
    this.runEffects();
  }

  private receive(message: unknown): void {
    if (this.isStopped || typeof message !== 'object' || message === null) return;
    if (isBootstrapMessage(message)) this.receiveBootstrapMessage(message);
    else this.handleInput((core) => core.receive(message as RaftMessage, performance.now()));
  }

  private receiveBootstrapMessage(message: BootstrapMessage): void {
    if (message.type === 'bootstrap-answer') {
      this.discovery?.handleResponse(message.fromInstance, message.hasHistory);
      return;
    }
    if (this.stored === undefined) return;
    const response: BootstrapMessage = {
      type: 'bootstrap-answer',
      fromInstance: this.opts.instanceId,
      hasHistory: this.core
        ? hasHistory(this.core.term, this.core.lastIndex)
        : storedLogHasHistory(this.stored),
    };
    this.opts.transport.send(message.fromInstance, response);
  }

  /** Passes an input to the core and schedules its effects; an error of the core is fatal. */
  private handleInput(input: (core: RaftCore) => void): void {
    if (this.core === undefined || this.isStopped) return;
    try {
      input(this.core);
      this.scheduleEffects();
    } catch (err) {
      this.fail(err);
    }
  }

  /** Schedules the execution of effects at the end of this event-loop iteration. */
  private scheduleEffects(): void {
    if (this.isEffectRunScheduled || this.isStopped) return;
    this.isEffectRunScheduled = true;
    setImmediate(() => {
      this.isEffectRunScheduled = false;
      this.runEffects();
    });
  }

  private runEffects(): void {
    if (this.core === undefined || this.isStopped) return;
    try {
      for (const effect of this.core.takeEffects()) {
        if (this.isStopped) return;
        this.runEffect(this.core, effect);
      }
    } catch (err) {
      this.fail(err);
    }
  }

  private runEffect(core: RaftCore, effect: RaftEffect): void {
    const { transport, stateMachine } = this.opts;
    switch (effect.type) {
      case 'send':
        transport.send(instanceIdOf(effect.message.to), effect.message);
        break;
      case 'write':
        this.storeQueue.write(effect.write, () => {
          this.handleInput(() => core.onWriteCompleted(effect.write.id, performance.now()));
        });
        break;
      case 'apply':
        for (const entry of effect.entries) this.apply(entry);
        break;
      case 'restore':
        stateMachine.restore(effect.snapshot.data);
        this.lastApplied = effect.snapshot.index;
        break;
      case 'take-snapshot': {
        const { index, term, membership } = effect;
        const data = stateMachine.snapshot();
        this.storeQueue.saveSnapshot({ index, term, membership, data }, () => {
          this.handleInput(() => core.onSnapshotSaved(index, data));
        });
        break;
      }
      case 'role':
        this.notifyRoleChange(effect.change);
        break;
      default:
    }
  }

  private apply({ index, term, type, data }: LogEntry): void {
    let result: unknown;
    if (type === 'command') {
      result = this.opts.stateMachine.apply({ index, term, command: data });
    }
    this.lastApplied = index;
    this.proposals.settle({ index, term }, result);
  }

  private notifyRoleChange(change: RoleChange): void {
    this.proposals.rejectOtherTerms(change.role === 'leader' ? change.term : undefined);
    for (const listener of [...this.listeners]) listener(change);
  }

  /**
   * Stops the replica for good, because the state of a store or state machine is undefined after an
   * error.
   */
  private fail(err: unknown): void {
    if (this.isStopped) return;
    const error = new ConsensusError('the replica stopped after an error', { cause: toError(err) });
    this.stop(error);
    this.opts.onFatal(error);
  }

  private stop(cause?: Error): void {
    if (this.isStopped) return;
    this.isStopped = true;
    clearInterval(this.tickTimer);
    this.storeQueue.stop();
    this.proposalBatcher.stop();
    this.discovery?.[Symbol.dispose]();
    this.unsubscribe();
    this.proposals.rejectOtherTerms(undefined, cause);
    const change: RoleChange = { role: this.role, term: this.term, leaderId: undefined };
    for (const listener of [...this.listeners]) listener(change);
  }
}
