import type { CommittedEntry, StateMachine } from '@lagoongap/consensus/replicatedLog.js';

/** State machine that records the applied commands. */
export class CommandList implements StateMachine {
  commands: unknown[] = [];

  apply({ command }: CommittedEntry): number {
    return this.commands.push(command);
  }

  snapshot(): unknown {
    return [...this.commands];
  }

  restore(snapshot: unknown): void {
    this.commands = [...(snapshot as unknown[])];
  }
}
