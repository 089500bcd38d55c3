import { MemoryLogStore } from '@lagoongap/consensus/memoryLogStore.js';
import type { RaftMessage } from '@lagoongap/consensus/raftMessage.js';
import { RaftReplica } from '@lagoongap/consensus/raftReplica.js';
import FakeTimers from '@sinonjs/fake-timers';

import { CommandList } from './commandList.js';

/** Delay of each message on the paused clock. */
const DELAY_MS = 1;

/** Longest time that a condition may take on the paused clock. */
const BOUND_MS = 10_000;

/** A replica with what surrounds it. */
export interface ClusterMember {
  replica: RaftReplica;
  store: MemoryLogStore;
  stateMachine: CommandList;
  disk: { writes: number; gate: Promise<void> | undefined; release: () => void };
  started: Promise<void>;
  fatal: Error | undefined;
}

/** Replicas on a paused clock, with stores in memory and links that can be cut. */
export class ReplicaCluster implements AsyncDisposable {
  readonly members = new Map<string, ClusterMember>();
  readonly sent: { from: string; to: string; message: RaftMessage }[] = [];
  private readonly clock = FakeTimers.install();
  private readonly cutOff = new Set<string>();
  private readonly handlers = new Map<string, (message: unknown) => void>();

  constructor(
    readonly ids: string[],
    private readonly snapshotEntries: number,
    private readonly batchMs = 0,
  ) {}

  /** Starts the process of an instance on its disk, or on an empty one. */
  start(id: string, hasEmptyDisk = false): void {
    const before = hasEmptyDisk ? undefined : this.members.get(id);
    const disk: ClusterMember['disk'] = before?.disk ?? {
      writes: 0,
      gate: undefined,
      release: () => undefined,
    };
    const beforeWrite = () => {
      disk.writes += 1;
      return disk.gate;
    };
    const store = before?.store ?? new MemoryLogStore({ beforeWrite });
    const stateMachine = new CommandList();
    const replica = new RaftReplica({
      instanceId: id,
      bootstrapVoters: this.ids,
      store,
      stateMachine,
      snapshotEntries: this.snapshotEntries,
      batchMs: this.batchMs,
      transport: {
        send: (to, message) => this.send(id, to, message as RaftMessage),
        onMessage: (handler) => {
          this.handlers.set(id, handler);
          return () => this.handlers.delete(id);
        },
      },
      onFatal: (error) => {
        this.get(id).fatal = error;
      },
    });
    const started = replica.start();
    this.members.set(id, { replica, store, stateMachine, disk, started, fatal: undefined });
  }

  get(id: string): ClusterMember {
    return this.members.get(id)!;
  }

  /** Instance id of the valid leader. */
  get leader(): string | undefined {
    return this.ids.find((id) => this.members.get(id)?.replica.isLeaderValid());
  }

  async crash(id: string): Promise<void> {
    const { replica, disk } = this.get(id);
    disk.release();
    await replica[Symbol.asyncDispose]();
  }

  setCutOff(id: string, isCutOff: boolean): void {
    if (isCutOff) this.cutOff.add(id);
    else this.cutOff.delete(id);
  }

  /** Holds the writes of a replica until `release` of its disk is called. */
  stallWrites(id: string): void {
    const { disk } = this.get(id);
    disk.gate = new Promise((resolve) => {
      disk.release = () => {
        disk.gate = undefined;
        resolve();
      };
    });
  }

  async advance(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
  }

  /** Lets time pass until a condition holds. */
  async waitUntil(description: string, isTrue: () => boolean): Promise<void> {
    const startMs = performance.now();
    while (!isTrue()) {
      if (performance.now() - startMs > BOUND_MS) throw new Error(`no ${description} in time`);
      await this.advance(DELAY_MS);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const id of this.members.keys()) await this.crash(id);
    this.clock.uninstall();
  }

  private send(from: string, to: string, message: RaftMessage): void {
    this.sent.push({ from, to, message });
    const text = JSON.stringify(message);
    setTimeout(() => {
      if (this.cutOff.has(from) || this.cutOff.has(to)) return;
      this.handlers.get(to)?.(JSON.parse(text));
    }, DELAY_MS);
  }
}
