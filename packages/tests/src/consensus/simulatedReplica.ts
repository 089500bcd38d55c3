import type { RaftCore } from '@lagoongap/consensus/raftCore.js';
import type { PendingWrite, RaftEffect } from '@lagoongap/consensus/raftEffect.js';
import type { Snapshot } from '@lagoongap/storage/logStore.js';

import type { Digest } from './historyChecker.js';
import { createCore } from './mutatedCore.js';
import type { SimulatedDisk } from './simulatedDisk.js';
import type { Simulation } from './simulation.js';

/** Maximum relative deviation of a clock's rate. */
const CLOCK_DEVIATION = 0.01;

/** Tick interval on the clock of the replica. */
const TICK_MS = 50;

/** Probability that a write takes ten times as long as normal. */
const SLOW_WRITE_CHANCE = 0.02;

interface StoreOperation {
  write?: PendingWrite;
  snapshot?: Snapshot;
}

/** Replica of a simulated cluster with its own clock and disk; drives a RaftCore. */
export class SimulatedReplica {
  core: RaftCore | undefined;
  isPaused = false;
  private clockRate = 1;
  private clockOffsetMs = 0;
  /** Counts starts and crashes, so that events of an earlier process are ignored. */
  private incarnation = 0;
  /** Simulation time at which the latest process ended. */
  private endedMs = 0;
  private digest: Digest = { index: 0, value: 0 };
  private operations: StoreOperation[] = [];
  private isStoring = false;
  private deferredInputs: ((core: RaftCore) => void)[] = [];

  constructor(
    private readonly simulation: Simulation,
    readonly instanceId: string,
    public disk: SimulatedDisk,
  ) {}

  get replicaId(): string {
    return this.disk.replicaId;
  }

  /** Current time on the clock of this replica. */
  get nowMs(): number {
    return this.toClockMs(this.simulation.nowMs);
  }

  /** Whether this replica considers itself a valid leader. */
  get isValidLeader(): boolean {
    return this.core?.role === 'leader' && this.core.isLeaderValid(this.nowMs);
  }

  /** Starts a process with the data on the disk. */
  start(): void {
    const { random, options, checker } = this.simulation;
    const { hardState, snapshot, entries, replicaId } = this.disk;
    this.incarnation += 1;
    this.clockRate = random.between(1 - CLOCK_DEVIATION, 1 + CLOCK_DEVIATION);
    this.clockOffsetMs = random.between(0, 1000) - this.simulation.nowMs * this.clockRate;
    const { timing, snapshotEntries, maxMessageEntries, mutation } = options;
    const elapsedLeaseMs = mutation === 'no leader lease after restart' ? timing.electionMinMs : 0;
    this.core = createCore(mutation, {
      replicaId,
      timing,
      random: random.next,
      snapshotEntries,
      maxMessageEntries,
      maxSnapshotChunkChars: 10,
      hardState,
      snapshot,
      entries,
      nowMs: this.nowMs - elapsedLeaseMs,
      processStartMs: options.countsBootTime ? this.toClockMs(this.endedMs) : undefined,
    });
    this.digest = (snapshot?.data as Digest | undefined) ?? { index: 0, value: 0 };
    checker.checkRestored(replicaId, this.digest);
    this.scheduleTick();
  }

  /** Ends the process; unsynced data may be lost. */
  crash(): void {
    const { random } = this.simulation;
    if (this.core) this.endedMs = this.simulation.nowMs;
    const running = this.isStoring ? this.operations[0] : undefined;
    if (running?.write) this.disk.writeTorn(running.write, random);
    this.core = undefined;
    this.isPaused = false;
    this.deferredInputs = [];
    this.operations = [];
    this.isStoring = false;
    this.incarnation += 1;
  }

  /** Resumes after a pause and handles the inputs that arrived meanwhile. */
  resume(): void {
    this.isPaused = false;
    const inputs = this.deferredInputs.splice(0);
    for (const input of inputs) this.handleInput(input);
  }

  /** Passes an input to the core and executes its effects; a paused process defers the input. */
  handleInput(input: (core: RaftCore) => void): void {
    if (this.core === undefined) return;
    if (this.isPaused) {
      this.deferredInputs.push(input);
      return;
    }
    input(this.core);
    for (const effect of this.core.takeEffects()) this.runEffect(this.core, effect);
  }

  private toClockMs(simulationMs: number): number {
    return this.clockOffsetMs + simulationMs * this.clockRate;
  }

  private toSimulationMs(clockMs: number): number {
    return (clockMs - this.clockOffsetMs) / this.clockRate;
  }

  private scheduleTick(): void {
    const { incarnation } = this;
    this.simulation.after(TICK_MS / this.clockRate, () => {
      if (incarnation !== this.incarnation) return;
      if (!this.isPaused) this.handleInput((core) => core.tick(this.nowMs));
      this.scheduleTick();
    });
  }

  private runEffect(core: RaftCore, effect: RaftEffect): void {
    const { checker, network } = this.simulation;
    switch (effect.type) {
      case 'send':
        checker.checkSender(this.replicaId);
        network.send(this.instanceId, effect.message);
        break;
      case 'write':
        this.enqueue({ write: effect.write });
        this.completeEarly(core, effect.write);
        break;
      case 'apply':
        for (const entry of effect.entries) {
          this.digest = checker.checkApplied(this.replicaId, core.term, this.digest, entry);
        }
        break;
      case 'restore':
        this.digest = effect.snapshot.data as Digest;
        checker.checkRestored(this.replicaId, this.digest);
        break;
      case 'take-snapshot': {
        const { index, term, membership } = effect;
        this.enqueue({ snapshot: { index, term, membership, data: this.digest } });
        break;
      }
      case 'role':
        if (effect.change.role === 'leader') {
          checker.checkElection(this.replicaId, effect.change.term, this.disk);
          this.simulation.checkPredecessorEnd(
            this.replicaId,
            effect.change.term,
            this.toSimulationMs(core.predecessorEndMs!),
          );
        }
        break;
      default:
    }
  }

  private completeEarly(core: RaftCore, write: PendingWrite): void {
    const { mutation } = this.simulation.options;
    const isEarly =
      write.entries === undefined
        ? mutation === 'vote before the write completes'
        : mutation === 'acknowledgement before the write completes';
    if (!isEarly || write.snapshot !== undefined) return;
    this.simulation.after(0, () => {
      if (core === this.core) this.handleInput(() => core.onWriteCompleted(write.id, this.nowMs));
    });
  }

  private enqueue(operation: StoreOperation): void {
    this.operations.push(operation);
    if (!this.isStoring) this.runNextOperation();
  }

  private runNextOperation(): void {
    const { incarnation } = this;
    const operation = this.operations[0];
    this.isStoring = operation !== undefined;
    if (operation === undefined) return;
    const { random, options } = this.simulation;
    const factor = random.chance(SLOW_WRITE_CHANCE) ? 10 : 1;
    this.simulation.after(random.between(0.5, options.maxWriteMs) * factor, () => {
      if (incarnation !== this.incarnation) return;
      this.operations.shift();
      this.completeOperation(operation);
      this.runNextOperation();
    });
  }

  private completeOperation({ write, snapshot }: StoreOperation): void {
    const { checker } = this.simulation;
    if (write !== undefined) {
      this.disk.write(write);
      checker.checkWrite(write.entries ?? [], this.disk);
      this.handleInput((core) => core.onWriteCompleted(write.id, this.nowMs));
    }
    if (snapshot !== undefined) {
      this.disk.saveSnapshot(snapshot);
      this.handleInput((core) => core.onSnapshotSaved(snapshot.index, snapshot.data));
    }
  }
}
