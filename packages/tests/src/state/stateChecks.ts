import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { SingleCommand } from '@lagoongap/state/commands.js';
import { hasCrashedTooOften } from '@lagoongap/state/crashHistory.js';
import { isFinal } from '@lagoongap/state/taskTransitions.js';

/** Returns violations of the invariants that must hold after each command. */
export function checkState(state: ClusterState): string[] {
  const violations: string[] = [];
  for (const job of state.jobs.values()) {
    const running = job.tasks.filter((task) => task.attempt !== undefined);
    for (const task of running) {
      if (!state.attempts.get(task.attempt!)) violations.push(`${job.id} has an unknown attempt`);
      if (isFinal(task.state)) violations.push(`${job.id} has a finished task with an attempt`);
    }
    if (isFinal(job.state) && running.length > 0) violations.push(`${job.id} ended but still runs`);
    if (isFinal(job.state) !== (job.finishedAt !== undefined)) {
      violations.push(`${job.id} is ${job.state} but its end time does not match`);
    }
  }
  const tasks = new Set<string>();
  for (const attempt of state.attempts.values()) {
    const job = state.jobs.get(attempt.unitId);
    const record = job?.tasks[attempt.taskIndex] ?? state.requests.get(attempt.unitId);
    // A gang ends with any of its tasks, after the others have been stopped.
    const members = job?.spec.kind === 'gang' && !job.stopping ? job.tasks : [];
    if ([record, ...members].some((it) => hasCrashedTooOften(it?.crashes))) {
      violations.push(`${attempt.unitId} runs after its crashes`);
    }
    const task = `${attempt.unitId}/${attempt.taskIndex}`;
    if (tasks.has(task)) violations.push(`${task} has two attempts`);
    tasks.add(task);
  }
  return violations;
}

/** Detects starts of tasks that must not be repeated and may have run already. */
export class RepeatChecker {
  private readonly mayHaveRun = new Set<string>();
  readonly violations: string[] = [];

  /** Applies one command and checks its result. */
  applyAndCheck(state: ClusterState, command: SingleCommand, apply: () => unknown): void {
    const ended =
      command.type === 'finish-attempts' ? this.listTasksThatMayHaveRun(state, command) : [];
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

  private listTasksThatMayHaveRun(
    state: ClusterState,
    command: SingleCommand & { type: 'finish-attempts' },
  ): string[] {
    return command.finished.flatMap(({ attempt: id, outcome }) => {
      const attempt = state.attempts.get(id);
      const job = attempt && state.jobs.get(attempt.unitId);
      // A checkpointed task may resume; a task that did not run may be started.
      const hasRun = !['not-run', 'checkpointed'].includes(outcome);
      const noRepeat = job ? job.spec.noRepeat : attempt?.noRepeat;
      const isService = job?.spec.kind === 'service';
      if (!attempt || !noRepeat || !hasRun || isService) return [];
      return [`${attempt.unitId}/${attempt.taskIndex}`];
    });
  }
}
