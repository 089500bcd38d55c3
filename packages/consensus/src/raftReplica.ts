import type { LogEntry, StoredLog } from '@lagoongap/storage/logStore.js';
import { toError } from '@lagoongap/model/toError.js';

import { bootstrapWrite, hasHistory, isEmpty, storedHasHistory } from './bootstrap.js';
import { BootstrapInquiry, isBootstrapMessage, type BootstrapMessage } from './bootstrapInquiry.js';
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
import { bootstrapReplicaId, createReplicaId, instanceOf } from './replicaId.js';
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

/** Ticks in a heartbeat interval; bounds the delay of a heartbeat to a quarter of it. */
const TICKS_PER_HEARTBEAT = 4;

/** Longest wait for the result of a leadership transfer, in longest election timeouts. */
const TRANSFER_WAIT_TIMEOUTS = 3;

/**
 * Replica of the log: runs a {@link RaftCore} on the runtime's clock, a store and a transport.
 * Everything that happens in one turn of the event loop is carried out at its end, so that
 * the proposals of a turn share one write and one message per member.
 */
export class RaftReplica implements ReplicatedLog {
  private readonly timing: RaftTiming;
  private readonly random: () => number;
  private readonly proposals = new PendingProposals();
  private readonly batcher: ProposalBatcher;
  private readonly listeners = new Set<(change: RoleChange) => void>();
  private readonly storeQueue: StoreQueue;
  private readonly unsubscribe: () => void;
  private core: RaftCore | undefined;
  private starting: Promise<void> | undefined;
  private stored: StoredLog | undefined;
  private inquiry: BootstrapInquiry | undefined;
  private ticker: NodeJS.Timeout | undefined;
  private lastApplied = 0;
  private hasPendingTurn = false;
  private isStopped = false;

  /** Creates a replica that does nothing before `start`. */
  constructor(private readonly opts: RaftReplicaOptions) {
    this.timing = opts.timing ?? DEFAULT_TIMING;
    this.random = opts.random ?? Math.random;
    this.batcher = new ProposalBatcher(opts.batchMs ?? 0, () => this.requestTurn());
    this.storeQueue = new StoreQueue(opts.store, (err) => this.fail(err));
    this.unsubscribe = opts.transport.onMessage((message) => this.receive(message));
  }

  /**
   * Loads the log and takes up the protocol. On an empty folder with `bootstrapVoters` it waits
   * until enough of the other initial voters have answered. Rejects with ConsensusError if the
   * store fails; resolves without effect if the replica is disposed of meanwhile.
   */
  async start(): Promise<void> {
    this.starting = this.load();
    try {
      await this.starting;
    } catch (err) {
      const error = new ConsensusError('the replica cannot start', { cause: toError(err) });
      this.stop(error);
      throw error;
    }
  }

  /** Id of this replica; undefined before `start` has chosen it. */
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

  get appliedIndex(): number {
    return this.lastApplied;
  }

  async propose(command: unknown): Promise<ProposeResult> {
    const appended = await this.batcher.append(this.expectCore(), command);
    return this.proposals.waitFor(appended);
  }

  isLeaderValid(): boolean {
    if (this.core === undefined || this.isStopped) return false;
    return this.core.isLeaderValid(performance.now());
  }

  /** Rejects with NotLeaderError if this replica is not the leader or ceases to be. */
  async whenReadyToLead(): Promise<void> {
    const { termStartIndex, term } = this.expectCore();
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

  /** Members in force, by replica id. */
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

  /** Tells, on the leader, whether a learner has caught up and its log is durable. */
  isCaughtUp(replicaId: string): boolean {
    return !this.isStopped && (this.core?.isCaughtUp(replicaId) ?? false);
  }

  /**
   * Resolves when another leader is known. Rejects with NotLeaderError, MembershipChangeError,
   * or ConsensusError if the transfer fails.
   *
   * @param to - Replica id or instance id of a voter.
   */
  async transferLeadership(to?: string): Promise<void> {
    const core = this.expectCore();
    const { term } = core;
    const target = core.membership.voters.find((id) => id === to || instanceOf(id) === to);
    core.transferLeadership(target ?? to, performance.now());
    this.requestTurn();
    await this.waitForNextLeader(term);
  }

  /** Stops; entries that wait for their commit are rejected with CommitUnknownError. */
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
      hardState,
      snapshot,
      entries,
      nowMs: performance.now(),
    });
    if (snapshot !== undefined) {
      this.opts.stateMachine.restore(snapshot.data);
      this.lastApplied = snapshot.index;
    }
    this.ticker = setInterval(() => this.tick(), this.timing.heartbeatMs / TICKS_PER_HEARTBEAT);
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
    // Also ends a bootstrap that a crash interrupted; a replica without a term never voted.
    if (isInitialVoter && stored.replicaId === ownBootstrapId && isEmpty(stored)) {
      const write = bootstrapWrite(bootstrapVoters);
      await store.write(write);
      stored.hardState = write.hardState;
      stored.entries = write.entries;
    }
  }

  private async clusterExists(voters: string[]): Promise<boolean> {
    this.inquiry = new BootstrapInquiry(this.opts.instanceId, voters, this.opts.transport);
    return this.inquiry.clusterExists();
  }

  private async changeMembership(change: MembershipChange): Promise<void> {
    const appended = this.expectCore().proposeMembership(change, performance.now());
    this.requestTurn();
    await this.proposals.waitFor(appended);
  }

  private async waitForNextLeader(term: number): Promise<void> {
    const waitMs = this.timing.electionMaxMs * TRANSFER_WAIT_TIMEOUTS;
    let timer: NodeJS.Timeout | undefined;
    let unsubscribe: () => void = () => undefined;
    try {
      await new Promise<void>((resolve, reject) => {
        const giveUp = () => reject(new ConsensusError('leadership transfer timed out'));
        timer = setTimeout(giveUp, waitMs);
        unsubscribe = this.onRoleChange(({ role, term: newTerm, leaderId }) => {
          if (this.isStopped) reject(new ConsensusError('the replica has stopped'));
          if (newTerm > term && role !== 'leader' && leaderId !== undefined) resolve();
        });
      });
    } finally {
      clearTimeout(timer);
      unsubscribe();
    }
  }

  private expectCore(): RaftCore {
    if (this.core === undefined || this.isStopped) throw new NotLeaderError();
    return this.core;
  }

  private tick(): void {
    this.guard((core) => core.tick(performance.now()));
  }

  private receive(message: unknown): void {
    if (this.isStopped || typeof message !== 'object' || message === null) return;
    if (isBootstrapMessage(message)) this.receiveBootstrapMessage(message);
    else this.guard((core) => core.receive(message as RaftMessage, performance.now()));
  }

  private receiveBootstrapMessage(message: BootstrapMessage): void {
    if (message.type === 'bootstrap-answer') {
      this.inquiry?.receive(message.fromInstance, message.hasHistory);
      return;
    }
    if (this.stored === undefined) return;
    const answer: BootstrapMessage = {
      type: 'bootstrap-answer',
      fromInstance: this.opts.instanceId,
      hasHistory: this.core
        ? hasHistory(this.core.term, this.core.lastIndex)
        : storedHasHistory(this.stored),
    };
    this.opts.transport.send(message.fromInstance, answer);
  }

  /** Gives the core an input; an error of the core is fatal. */
  private guard(input: (core: RaftCore) => void): void {
    if (this.core === undefined || this.isStopped) return;
    try {
      input(this.core);
      this.requestTurn();
    } catch (err) {
      this.fail(err);
    }
  }

  /** Carries out the effects at the end of this turn of the event loop. */
  private requestTurn(): void {
    if (this.hasPendingTurn || this.isStopped) return;
    this.hasPendingTurn = true;
    setImmediate(() => {
      this.hasPendingTurn = false;
      this.runTurn();
    });
  }

  private runTurn(): void {
    if (this.core === undefined || this.isStopped) return;
    try {
      for (const effect of this.core.takeEffects()) {
        if (this.isStopped) return;
        this.carryOut(this.core, effect);
      }
    } catch (err) {
      this.fail(err);
    }
  }

  private carryOut(core: RaftCore, effect: RaftEffect): void {
    const { transport, stateMachine } = this.opts;
    switch (effect.type) {
      case 'send':
        transport.send(instanceOf(effect.message.to), effect.message);
        break;
      case 'write':
        this.storeQueue.write(effect.write, () => {
          this.guard(() => core.writeCompleted(effect.write.id, performance.now()));
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
          this.guard(() => core.snapshotSaved(index, data));
        });
        break;
      }
      case 'role':
        this.announce(effect.change);
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

  private announce(change: RoleChange): void {
    this.proposals.rejectExcept(change.role === 'leader' ? change.term : undefined);
    for (const listener of [...this.listeners]) listener(change);
  }

  /** A failed store or state machine cannot be trusted any more; the replica never goes on. */
  private fail(err: unknown): void {
    if (this.isStopped) return;
    const error = new ConsensusError('the replica has stopped', { cause: toError(err) });
    this.stop(error);
    this.opts.onFatal(error);
  }

  private stop(cause?: Error): void {
    if (this.isStopped) return;
    this.isStopped = true;
    clearInterval(this.ticker);
    this.storeQueue.stop();
    this.batcher.stop();
    this.inquiry?.[Symbol.dispose]();
    this.unsubscribe();
    this.proposals.rejectExcept(undefined, cause);
    const change: RoleChange = { role: this.role, term: this.term, leaderId: undefined };
    for (const listener of [...this.listeners]) listener(change);
  }
}
