import type { StoppableRun, UrgentStep } from './preemptionTypes.js';

/** Runs that may be stopped together. */
export interface VictimSet {
  runs: StoppableRun[];
  /** Share of the value of a job that is lost by the stops, added up over the jobs. */
  loss: number;
  cost: number;
}

/** What the cost of a stop depends on besides the run and the urgent step. */
export interface VictimConditions {
  /** Longest time from the decision to stop a run to the use of its room. */
  freeingMs: number;
  /** Steps with another run that is stopped. */
  delayedSteps: ReadonlySet<string>;
}

/** Multiple of its target duration within which a late job loses its value. */
export const VALUE_LOSS_FACTOR = 2;

/** Most runs that are stopped on one endpoint at a time for a step. */
const MAX_VICTIMS = 4;

/** Cost of the whole value of a victim's job, in multiples of the cost of one stop. */
const LOSS_WEIGHT = 10;

/** Cost of delaying another step, which has to start a task again and may need advice for it. */
const STEP_COST = 0.5;

/** Slack that makes a victim half as costly as one without any slack. */
const HALF_COST_SLACK_MS = 1000;

/** Cost of the work that a victim delays, for each task of the urgent step that would fit in it. */
const SIZE_WEIGHT = 0.1;

/** Returns the share of its value that a job with a target duration has lost at a slack. */
export function lostValue(slackMs: number, targetMs: number): number {
  if (slackMs >= 0) return 0;
  return Math.min(1, -slackMs / Math.max(1, targetMs * VALUE_LOSS_FACTOR));
}

function assess(run: StoppableRun, step: UrgentStep, conditions: VictimConditions): VictimSet {
  const { freeingMs, delayedSteps } = conditions;
  // It writes a checkpoint, waits at least for as long as the urgent task runs, and resumes.
  const slackMs = run.slackMs - (freeingMs + step.durationMs + run.restartMs);
  // A job is as late as its last task, so that further stops of a step cost little.
  const isDelayed = delayedSteps.has(run.step);
  const added = lostValue(slackMs, run.targetMs) - lostValue(run.slackMs, run.targetMs);
  const loss = isDelayed ? 0 : added;
  const slackCost = HALF_COST_SLACK_MS / (HALF_COST_SLACK_MS + Math.max(0, slackMs));
  const sizeCost = SIZE_WEIGHT * (run.size.cpuMillis / Math.max(1, step.size.cpuMillis));
  const stepCost = isDelayed ? 0 : STEP_COST;
  const cost = 1 + LOSS_WEIGHT * loss + stepCost + slackCost + sizeCost + run.preemptions;
  return { runs: [run], loss, cost };
}

/** Returns each run alone, and the cheapest ones together. */
export function listVictimSets(
  runs: readonly StoppableRun[],
  step: UrgentStep,
  conditions: VictimConditions,
): VictimSet[] {
  const single = runs.map((run) => assess(run, step, conditions)).sort((a, b) => a.cost - b.cost);
  const sets = [...single];
  let last = single[0];
  for (const next of single.slice(1, MAX_VICTIMS)) {
    last = {
      runs: [...last!.runs, ...next.runs],
      loss: last!.loss + next.loss,
      cost: last!.cost + next.cost,
    };
    sets.push(last);
  }
  return sets;
}
