import type { EndpointCrash } from './crashDetector.js';
import type { AgentRun, EndpointAgent, IncarnationEnd } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName } from './jobSpec.js';
import { suspectUnit } from './quarantine.js';
import type { SessionContext } from './sessionContext.js';
import type { WorkflowState } from './workflowState.js';

/** Time for which an endpoint failed; the moment of the failure lies in it. Monotonic. */
export interface FailureInterval {
  endpoint: string;
  lastContactMs: number;
  /** The endpoint had responded to this leader, so that the interval is known. */
  wasInContact: boolean;
  noticedMs: number;
}

/** A crash that was attributed. */
interface Failure extends FailureInterval {
  instance: string;
  /** Names of the tasks that were on the endpoint. */
  tasks: ReadonlySet<string>;
  /** Names of the gangs that had members on the endpoint. */
  gangs: ReadonlySet<string>;
  /** A run on trial explains it. */
  isExplained: boolean;
}

/** Time for which failures are remembered. */
export const FAILURE_MEMORY_MS = 60_000;

/** Number of other endpoints that fail at the same moment from which they have a common cause. */
const MIN_COMMON_FAILURES = 3;

/** Share of the endpoints from which failures at the same moment have a common cause. */
const COMMON_FAILURE_SHARE = 0.1;

/** Difference between two failures up to which they come at the same moment. */
const SAME_MOMENT_MS = 50;

/** Shortest time over which the rate of failures is estimated. */
const MIN_OBSERVATION_MS = 10_000;

function describeSilence(agent: EndpointAgent): IncarnationEnd {
  const confirmedMs = [...agent.runs.values()].map((run) => run.confirmedMs);
  const end = agent.describeEnd();
  return { ...end, lastContactMs: Math.max(end.lastContactMs, ...confirmedMs) };
}

function intersects(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return [...a].some((it) => b.has(it));
}

/** Returns the names of the gangs that runs are members of. */
export function listGangs(runs: AgentRun[], state: WorkflowState): Set<string> {
  const members = runs.filter(({ task }) => state.findSpec(task)?.isGang);
  return new Set(members.map(({ task }) => suspectUnit(task, true)));
}

/** Remembers the latest failures of endpoints, as far as this leader has seen them. */
export class EndpointFailures {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;
  private failures: Failure[] = [];
  private readonly sinceMs = performance.now();

  constructor(context: SessionContext, directory: EndpointDirectory) {
    this.context = context;
    this.directory = directory;
  }

  /** @param isExplained - Whether a run on trial explains the crash. */
  add(crash: EndpointCrash, isExplained: boolean): void {
    const oldestMs = performance.now() - FAILURE_MEMORY_MS;
    this.failures = this.failures.filter(({ noticedMs }) => noticedMs > oldestMs);
    const tasks = new Set(crash.runs.map(({ task }) => taskName(task)));
    const gangs = listGangs(crash.runs, this.context.state);
    this.failures.push({ ...crash, tasks, gangs, isExplained });
  }

  /** Returns how often an instance failed recently without a run that explains it. */
  countUnexplained(instance: string): number {
    return this.listUnexplained().filter((failure) => failure.instance === instance).length;
  }

  /** Returns whether an instance failed recently under a task without a run that explains it. */
  hasUnexplained(instance: string, task: string): boolean {
    return this.listUnexplained().some(
      (failure) => failure.instance === instance && failure.tasks.has(task),
    );
  }

  /** Returns the failures that nothing explains, per endpoint and millisecond. */
  estimateRate(): number {
    const nowMs = performance.now();
    const elapsedMs = Math.max(MIN_OBSERVATION_MS, nowMs - this.sinceMs);
    const observedMs = Math.min(FAILURE_MEMORY_MS, elapsedMs);
    const recent = this.listUnexplained().filter(({ noticedMs }) => noticedMs > nowMs - observedMs);
    return recent.length / (observedMs * Math.max(1, this.directory.list().length));
  }

  /**
   * Returns whether so many other endpoints failed at the same moment that one cause is likely.
   *
   * @param repeatedGangs - Gangs that may have crashed several endpoints at that moment themselves.
   */
  hasCommonCause(crash: FailureInterval, repeatedGangs: ReadonlySet<string>): boolean {
    // What had failed before this leader is noticed at one moment, whatever the cause.
    if (!crash.wasInContact) return false;
    const agents = this.directory.list();
    const silent = agents
      .filter((agent) => agent.isSuspect && !this.hasMemberOf(agent, repeatedGangs))
      .map((agent) => ({ endpoint: agent.id, ...describeSilence(agent) }));
    const noticed = this.failures.filter(({ gangs }) => !intersects(gangs, repeatedGangs));
    const others = new Set<string>();
    for (const failure of [...silent, ...noticed]) {
      const { endpoint, lastContactMs, noticedMs, wasInContact } = failure;
      if (endpoint === crash.endpoint || !wasInContact) continue;
      const isSameMoment =
        lastContactMs - SAME_MOMENT_MS <= crash.noticedMs &&
        crash.lastContactMs - SAME_MOMENT_MS <= noticedMs;
      if (isSameMoment) others.add(endpoint);
    }
    return others.size >= Math.max(MIN_COMMON_FAILURES, agents.length * COMMON_FAILURE_SHARE);
  }

  private listUnexplained(): Failure[] {
    const oldestMs = performance.now() - FAILURE_MEMORY_MS;
    return this.failures.filter(
      ({ isExplained, noticedMs }) => !isExplained && noticedMs > oldestMs,
    );
  }

  private hasMemberOf({ runs }: EndpointAgent, gangs: ReadonlySet<string>): boolean {
    // Most crashes are under no such gang; then nothing is looked up.
    if (gangs.size === 0) return false;
    return intersects(listGangs([...runs.values()], this.context.state), gangs);
  }
}
