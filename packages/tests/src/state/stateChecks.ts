import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { SingleCommand } from '@lagoongap/state/commands.js';
import { isFinal } from '@lagoongap/state/taskTransitions.js';

/** Returns violations of what must hold between any two commands. */
export function checkState(state: ClusterState): string[] {
  const violations: string[] = [];
  for (const job of state.jobs.values()) {
    const running = job.tasks.filter((task) => task.attempt !== undefined);
    for (const task of running) {
      if (!state.attempts.get(task.attempt!)) violations.push(`${job.id} names a lost attempt`);
      if (isFinal(task.state)) violations.push(`${job.id} has an ended task that runs`);
    }
    if (isFinal(job.state) && running.length > 0) violations.push(`${job.id} ended and runs`);
    if (isFinal(job.state) !== (job.finishedAt !== undefined)) {
      violations.push(`${job.id} is ${job.state} without its time of end`);
    }
  }
  const tasks = new Set<string>();
  for (const attempt of state.attempts.values()) {
    const task = `${attempt.unitId}/${attempt.taskIndex}`;
    if (tasks.has(task)) violations.push(`${task} has two attempts`);
    tasks.add(task);
  }
  return violations;
}

/** Counts the starts of each task that must not be repeated and may have run. */
export class RepeatChecker {
  private readonly mayHaveRun = new Set<string>();
  readonly violations: string[] = [];

  /** Follows one command and its result. */
  follow(state: ClusterState, command: SingleCommand, apply: () => unknown): void {
    const ended = command.type === 'finish-attempts' ? this.listEnded(state, command) : [];
    const result = apply();
    for (const task of ended) this.mayHaveRun.add(task);
    if (command.type !== 'start-attempts') return;
    const results = result as { status: string }[];
    command.attempts.forEach((attempt, i) => {
      const task = `${attempt.unitId}/${attempt.taskIndex}`;
      if (results[i]!.status !== 'started') return;
      if (this.mayHaveRun.has(task)) this.violations.push(`${task} was started again`);
    });
  }

  private listEnded(
    state: ClusterState,
    command: SingleCommand & { type: 'finish-attempts' },
  ): string[] {
    return command.finished.flatMap(({ attempt: id, outcome }) => {
      const attempt = state.attempts.get(id);
      const job = attempt && state.jobs.get(attempt.unitId);
      // A checkpointed task continues; one that did not run may be started.
      const hasRun = !['not-run', 'checkpointed'].includes(outcome);
      const noRepeat = job ? job.spec.noRepeat : attempt?.noRepeat;
      const isService = job?.spec.kind === 'service';
      if (!attempt || !noRepeat || !hasRun || isService) return [];
      return [`${attempt.unitId}/${attempt.taskIndex}`];
    });
  }
}
