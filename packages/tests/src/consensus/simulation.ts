import { bootstrapWrite } from '@lagoongap/consensus/bootstrap.js';
import { ConsensusError } from '@lagoongap/consensus/consensusError.js';
import { MembershipChangeError } from '@lagoongap/consensus/membershipChangeError.js';
import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { RaftCore } from '@lagoongap/consensus/raftCore.js';
import { bootstrapReplicaId } from '@lagoongap/consensus/replicaId.js';

import { EventQueue } from './eventQueue.js';
import { HistoryChecker } from './historyChecker.js';
import { RuleViolation } from './ruleViolation.js';
import { SeededRandom } from './seededRandom.js';
import { SimulatedDisk } from './simulatedDisk.js';
import { SimulatedNetwork } from './simulatedNetwork.js';
import { SimulatedReplica } from './simulatedReplica.js';
import type { FaultRates, SimulationOptions } from './simulationOptions.js';

/** Interval between two membership checks by the operator. */
const OPERATOR_INTERVAL_MS = 100;

/** Probability that a fault affects the leader rather than a random replica. */
const LEADER_FAULT_CHANCE = 0.4;

/** Simulated time within which a healed cluster must be operational again. */
const RECOVERY_TIMEOUT_MS = 20_000;

/** Simulated cluster with its clock, network, faults and operator, determined by a seed. */
export class Simulation {
  nowMs = 0;
  readonly random: SeededRandom;
  readonly checker = new HistoryChecker();
  readonly network = new SimulatedNetwork(this);
  readonly replicas: SimulatedReplica[] = [];
  private readonly events = new EventQueue();
  /** Time of the latest check at which the leader of a term was valid, by term. */
  private readonly lastValidMs = new Map<number, number>();
  private isHealed = false;
  /** Commit index after which all replicas lose power, if that is due. */
  private powerLossAfterIndex: number | undefined;
  private lastCommand = 0;

  constructor(
    seed: number,
    readonly options: SimulationOptions,
  ) {
    this.random = new SeededRandom(seed);
    const ids = Array.from({ length: options.replicaCount }, (_, at) => `r${at}`);
    const first = bootstrapWrite(ids);
    for (const id of ids) {
      const disk = new SimulatedDisk(bootstrapReplicaId(id));
      disk.write(first);
      this.replicas.push(new SimulatedReplica(this, id, disk));
    }
  }

  /** Runs the schedule; throws RuleViolation. */
  run(): void {
    try {
      for (const replica of this.replicas) replica.start();
      this.repeatAtRate(this.options.proposalsPerSecond, () => this.propose());
      this.after(OPERATOR_INTERVAL_MS, () => this.runOperator());
      this.scheduleFaults();
      this.runUntil(() => this.nowMs >= this.options.durationMs);
      this.heal();
      this.checkRecovery();
    } catch (err) {
      if (err instanceof ConsensusError) throw new RuleViolation('core error', err.message);
      throw err;
    }
  }

  /**
   * Kills the leader for good at a random time and returns the simulated time until another replica
   * is a valid leader, in milliseconds; throws RuleViolation.
   */
  measureFailover(): number {
    for (const replica of this.replicas) replica.start();
    this.repeatAtRate(this.options.proposalsPerSecond, () => this.propose());
    this.runUntil(() => this.validLeader() !== undefined);
    const killAtMs = this.nowMs + this.random.between(...this.options.restartMs);
    this.runUntil(() => this.nowMs >= killAtMs && this.validLeader() !== undefined);
    const startMs = this.nowMs;
    this.validLeader()!.crash();
    const limitMs = startMs + RECOVERY_TIMEOUT_MS;
    this.runUntil(() => this.validLeader() !== undefined || this.nowMs >= limitMs);
    return this.nowMs - startMs;
  }

  /** Runs a function after a delay in simulated time. */
  after(delayMs: number, run: () => void): void {
    this.events.add(this.nowMs + delayMs, run);
  }

  /** Checks the time by which a new leader assumes that the validity of earlier ones had ended. */
  checkPredecessorEnd(replicaId: string, term: number, endMs: number): void {
    const { mutation } = this.options;
    // Mutations that allow two valid leaders break this rule too; they must be detected as such.
    if (mutation && mutation !== 'votes hide a recent contact with the leader') return;
    for (const [validTerm, validMs] of this.lastValidMs) {
      if (validTerm >= term || validMs <= endMs) continue;
      const details = `term ${validTerm} was valid at ${validMs.toFixed(3)} ms, ${replicaId} of term ${term} assumes ${endMs.toFixed(3)} ms`;
      throw new RuleViolation('predecessor end', details);
    }
  }

  private runUntil(isDone: () => boolean): void {
    while (!isDone()) {
      const event = this.events.removeFirst();
      this.nowMs = event.atMs;
      event.run();
      this.checkValidLeaders();
      this.losePowerIfDue();
    }
  }

  private checkValidLeaders(): void {
    const valid = this.replicas.filter((replica) => replica.isValidLeader);
    for (const { core } of valid) this.lastValidMs.set(core!.term, this.nowMs);
    if (valid.length > 1) {
      const ids = valid.map(({ replicaId }) => replicaId);
      this.checker.checkValidLeaders(ids, this.nowMs);
    }
  }

  /** Calls a function at random times with a mean rate, until the cluster is healed. */
  private repeatAtRate(ratePerSecond: number, run: () => void): void {
    if (ratePerSecond === 0) return;
    const delayMs = (-Math.log(1 - this.random.next()) * 1000) / ratePerSecond;
    this.after(delayMs, () => {
      if (this.isHealed) return;
      run();
      this.repeatAtRate(ratePerSecond, run);
    });
  }

  private scheduleFaults(): void {
    const { faults } = this.options;
    const actions: [keyof FaultRates, () => void][] = [
      ['crashes', () => this.crash(this.pickFaultTarget())],
      ['diskLosses', () => this.loseDisk(this.random.pick(this.replicas))],
      ['powerLosses', () => this.schedulePowerLoss()],
      ['pauses', () => this.pause(this.pickFaultTarget())],
      ['partitions', () => this.partition()],
      [
        'transfers',
        () => this.withValidLeader((core, nowMs) => core.transferLeadership(undefined, nowMs)),
      ],
      ['memberChanges', () => this.removeAnyVoter()],
    ];
    for (const [name, action] of actions) this.repeatAtRate(faults[name], action);
  }

  private pickFaultTarget(): SimulatedReplica {
    const leader = this.replicas.find(({ core }) => core?.role === 'leader');
    if (leader !== undefined && this.random.chance(LEADER_FAULT_CHANCE)) return leader;
    return this.random.pick(this.replicas);
  }

  private crash(replica: SimulatedReplica): void {
    if (replica.core === undefined) return;
    replica.crash();
    this.startLater(replica);
  }

  /** Simulates a disk loss, unless an earlier one is not yet repaired. */
  private loseDisk(replica: SimulatedReplica): void {
    if (replica.core === undefined || !this.isComplete()) return;
    this.replaceDisk(replica);
    this.startLater(replica);
  }

  /** Returns whether every replica is a voter and a valid leader knows that. */
  private isComplete(): boolean {
    const voters = new Set(this.checker.committedMembership.voters);
    const leader = this.validLeader();
    if (leader === undefined) return false;
    if (!this.checker.isCommittedMembership(leader.core!.membership)) return false;
    return voters.size >= 3 && this.replicas.every(({ replicaId }) => voters.has(replicaId));
  }

  /** Kills a replica and gives it an empty disk. */
  private replaceDisk(replica: SimulatedReplica): void {
    const oldId = replica.replicaId;
    this.checker.lostIds.add(oldId);
    replica.crash();
    const isReused = this.options.mutation === 'replica keeps its id after disk loss';
    const newId = `${replica.instanceId}/${this.checker.lostIds.size}`;
    replica.disk = new SimulatedDisk(isReused ? oldId : newId);
  }

  private schedulePowerLoss(): void {
    this.powerLossAfterIndex ??= this.validLeader()?.core?.commitIndex;
  }

  /**
   * Ends all processes at the moment at which the leader acknowledges an entry, and destroys as many
   * disks as a group of this size tolerates.
   */
  private losePowerIfDue(): void {
    const commitIndex = this.validLeader()?.core?.commitIndex ?? 0;
    if (this.powerLossAfterIndex === undefined || this.isHealed) return;
    if (commitIndex <= this.powerLossAfterIndex || !this.isComplete()) return;
    this.powerLossAfterIndex = undefined;
    const toleratedCount = Math.floor((this.replicas.length - 1) / 2);
    const intact = [...this.replicas];
    for (let i = 0; i < toleratedCount; i += 1) {
      const replica = this.random.pick(intact);
      intact.splice(intact.indexOf(replica), 1);
      this.replaceDisk(replica);
    }
    for (const replica of intact) replica.crash();
    for (const replica of this.replicas) this.startLater(replica);
  }

  /** Starts a replica after the time of a restart, unless an overlapping fault has started it. */
  private startLater(replica: SimulatedReplica): void {
    this.afterFault(() => {
      if (replica.core === undefined) replica.start();
    }, this.options.restartMs);
  }

  private pause(replica: SimulatedReplica): void {
    if (replica.core === undefined || replica.isPaused) return;
    replica.isPaused = true;
    this.afterFault(() => replica.resume());
  }

  private partition(): void {
    const isolated = this.pickFaultTarget().instanceId;
    const ids = this.replicas.map(({ instanceId }) => instanceId);
    const others = ids.filter((id) => id !== isolated && this.random.chance(0.7));
    this.network.isolate(isolated, this.random.pick(['in', 'out', 'both'] as const), others);
    this.afterFault(() => this.network.reconnect());
  }

  private afterFault(repair: () => void, length = this.options.faultLengthMs): void {
    const [min, max] = length;
    this.after(this.random.between(min, max), () => {
      if (!this.isHealed) repair();
    });
  }

  private heal(): void {
    this.isHealed = true;
    this.network.heal();
    for (const replica of this.replicas) {
      if (replica.core === undefined) replica.start();
      if (replica.isPaused) replica.resume();
    }
  }

  private validLeader(): SimulatedReplica | undefined {
    return this.replicas.find((replica) => replica.isValidLeader && !replica.isPaused);
  }

  /**
   * Calls a function with the core of the valid leader; ignores refusals, which are part of the
   * protocol.
   */
  private withValidLeader(action: (core: RaftCore, nowMs: number) => void): void {
    const leader = this.validLeader();
    leader?.handleInput((core) => {
      try {
        action(core, leader.nowMs);
      } catch (err) {
        if (!(err instanceof NotLeaderError || err instanceof MembershipChangeError)) throw err;
      }
    });
  }

  private propose(): number {
    this.lastCommand += 1;
    const command = this.lastCommand;
    this.withValidLeader((core, nowMs) => core.propose(command, nowMs));
    return command;
  }

  /**
   * Removes a voter, but not while a voter has lost its disk, since the two could be a majority.
   */
  private removeAnyVoter(): void {
    this.withValidLeader((core, nowMs) => {
      const { voters } = core.membership;
      if (voters.length < 3 || voters.some((id) => this.checker.lostIds.has(id))) return;
      core.proposeMembership({ type: 'remove', replicaId: this.random.pick(voters) }, nowMs);
    });
  }

  /**
   * Simulates an operator that removes lost replicas, and adds and promotes replicas that are not
   * voters.
   */
  private runOperator(): void {
    this.after(OPERATOR_INTERVAL_MS, () => this.runOperator());
    this.withValidLeader((core, nowMs) => {
      const { voters, learners } = core.membership;
      const present = this.replicas.map(({ replicaId }) => replicaId);
      const absent = [...voters, ...learners].find((id) => !present.includes(id));
      if (absent !== undefined) {
        core.proposeMembership({ type: 'remove', replicaId: absent }, nowMs);
        return;
      }
      const missing = present.find((id) => !voters.includes(id) && !learners.includes(id));
      if (missing !== undefined) {
        core.proposeMembership({ type: 'add-learner', replicaId: missing }, nowMs);
        return;
      }
      const ready = learners.find((id) => core.isCaughtUp(id));
      if (ready !== undefined) core.proposeMembership({ type: 'promote', replicaId: ready }, nowMs);
    });
  }

  /** Checks that all replicas become voters and commit new commands. */
  private checkRecovery(): void {
    const { committed } = this.checker;
    const startIndex = committed.length;
    const boundMs = this.nowMs + RECOVERY_TIMEOUT_MS;
    let nextProposalMs = this.nowMs;
    this.runUntil(() => {
      if (this.nowMs >= boundMs) throw new RuleViolation('liveness', this.describeReplicas());
      if (this.nowMs >= nextProposalMs) {
        nextProposalMs = this.nowMs + OPERATOR_INTERVAL_MS;
        this.propose();
      }
      const { voters } = this.checker.committedMembership;
      return this.replicas.every(
        ({ replicaId, core }) =>
          voters.includes(replicaId) &&
          core!.commitIndex > startIndex &&
          core!.commitIndex >= committed.length - 2,
      );
    });
  }

  private describeReplicas(): string {
    return this.replicas
      .map(({ replicaId, core }) => `${replicaId} ${core?.role} ${core?.term}/${core?.commitIndex}`)
      .join(', ');
  }
}
