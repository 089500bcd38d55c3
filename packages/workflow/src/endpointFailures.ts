import type { EndpointCrash } from './crashDetector.js';
import { EQUAL, isAsLate } from './crashRecord.js';
import type { AgentRun } from './agentRun.js';
import type { EndpointAgent, IncarnationEnd } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';

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
  /** A run on the endpoint explains it. */
  isExplained: boolean;
  /** A task on the endpoint had crashed another one before, about as late after its start. */
  isRepetition: boolean;
}

/** Time for which failures are remembered. */
export const FAILURE_MEMORY_MS = 60_000;

/** Number of other endpoints that fail at the same moment from which they have a common cause. */
const MIN_COMMON_FAILURES = 3;

/** Share of the endpoints from which failures at the same moment have a common cause. */
const COMMON_FAILURE_SHARE = 0.1;

/** Share from which they have one whatever the endpoints run. */
const MAJOR_FAILURE_SHARE = 0.5;

/** Difference between two failures up to which they come at the same moment. */
const SAME_MOMENT_MS = 50;

/** Shortest time over which the rate of failures is estimated. */
const MIN_OBSERVATION_MS = 10_000;

function describeSilence(agent: EndpointAgent): IncarnationEnd {
  const confirmedMs = [...agent.runs.values()].map((run) => run.confirmedMs ?? -Infinity);
  const end = agent.describeEnd();
  return { ...end, lastContactMs: Math.max(end.lastContactMs, ...confirmedMs) };
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

  /** @param isExplained - Whether a run on the endpoint explains the crash. */
  add(crash: EndpointCrash, isExplained: boolean): void {
    const oldestMs = performance.now() - FAILURE_MEMORY_MS;
    this.failures = this.failures.filter(({ noticedMs }) => noticedMs > oldestMs);
    const tasks = new Set(crash.runs.map(({ task }) => taskName(task)));
    const isRepetition = this.isRepetition(crash.runs, crash.noticedMs);
    this.failures.push({ ...crash, tasks, isExplained, isRepetition });
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

  /** Returns whether one of the tasks crashed an endpoint before, as late after its start as now. */
  isRepetition(runs: AgentRun[], crashMs: number): boolean {
    return runs.some(({ task, orderedMs }) => {
      const history = this.context.state.findCrashes(task);
      return history !== undefined && isAsLate(crashMs - orderedMs, history.exposureMs, EQUAL);
    });
  }

  /**
   * Returns whether so many other endpoints failed at the same moment that one cause is likely, as
   * in a power loss. That would hit endpoints whatever they run; tasks that start together and crash
   * equally late hit those endpoints only that run them, and do so again. Therefore endpoints count
   * only if none of their tasks repeats an earlier crash, unless half of all endpoints failed.
   */
  hasCommonCause(crash: FailureInterval): boolean {
    // What had failed before this leader is noticed at one moment, whatever the cause.
    if (!crash.wasInContact) return false;
    const agents = this.directory.list();
    const silent = agents
      .filter(({ isSuspect }) => isSuspect)
      .map((agent) => ({
        endpoint: agent.id,
        ...describeSilence(agent),
        isRepetition: this.isRepetition([...agent.runs.values()], agent.silentSinceMs),
      }));
    const others = new Set<string>();
    const unexplained = new Set<string>();
    for (const failure of [...silent, ...this.failures]) {
      const { endpoint, lastContactMs, noticedMs, wasInContact, isRepetition } = failure;
      if (endpoint === crash.endpoint || !wasInContact) continue;
      const isSameMoment =
        lastContactMs - SAME_MOMENT_MS <= crash.noticedMs &&
        crash.lastContactMs - SAME_MOMENT_MS <= noticedMs;
      if (!isSameMoment) continue;
      others.add(endpoint);
      if (!isRepetition) unexplained.add(endpoint);
    }
    const reaches = ({ size }: Set<string>, share: number): boolean =>
      size >= Math.max(MIN_COMMON_FAILURES, agents.length * share);
    return reaches(unexplained, COMMON_FAILURE_SHARE) || reaches(others, MAJOR_FAILURE_SHARE);
  }

  private listUnexplained(): Failure[] {
    const oldestMs = performance.now() - FAILURE_MEMORY_MS;
    return this.failures.filter(
      ({ isExplained, noticedMs }) => !isExplained && noticedMs > oldestMs,
    );
  }
}
