import type { RunOutcome } from '@lagoongap/workflow/workflowRecords.js';

import { EndpointUsage } from './endpointUsage.js';

/**
 * How the tasks of a job behave: those of a service run until the job is cancelled, those of a
 * crashing job crash each endpoint that starts them.
 */
export type SoakJobKind = 'batch' | 'service' | 'crashing';

/** Job that a caller submitted. */
export interface SoakJob {
  id: string;
  kind: SoakJobKind;
  /** Number of tasks of each step; a step starts after the previous one has ended. */
  tasksPerStep: number[];
  cpuMillis: number;
  /** Maximum number of tasks of a step on one endpoint; unlimited by default. */
  maxPerEndpoint?: number;
}

/** Outcome of a call for the caller; `unknown` if there was no conclusive response. */
export type CallOutcome = 'accepted' | 'refused' | 'unknown';

/** Run that ended as `done`. */
interface DoneRun {
  endpoint: string;
  /** The task was started again later. */
  isBeforeStart: boolean;
  /**
   * Whether the system has acknowledged the end; `lapsed` if the lease of the endpoint expired
   * before that, as the run may then count as lost whatever the endpoint reports later.
   */
  acknowledgement: 'pending' | 'received' | 'lapsed';
}

/** Number of failed runs of a task after which its job may be reported as failed. */
const MAX_ATTEMPTS = 3;

/** Number of prompt crashes of a task after which its job may be reported as failed. */
const MAX_PROMPT_CRASHES = 2;

/** Number of crashes of a task after which its starts are limited. */
const MAX_CRASHES = 3;

/** Number of starts after that many crashes that is one too many. */
const MAX_STARTS_AFTER_CRASHES = 3;

interface TaskHistory {
  /** What endpoints observed of the task, in order. */
  events: string[];
  runningOn: Set<string>;
  doneRuns: Map<number, DoneRun>;
  failedCount: number;
  /** Number of runs that ended with a crash of their endpoint. */
  crashCount: number;
  /** Number of starts after {@link MAX_CRASHES} crashes. */
  lateStartCount: number;
}

interface JobHistory {
  job: SoakJob;
  outcomes: CallOutcome[];
  /** Number of submissions without an outcome yet. */
  openCalls: number;
  /** A cancellation has been sent. */
  isCancelling: boolean;
  /** A cancellation has been acknowledged. */
  isCancelled: boolean;
  /** The acknowledgement said that there is no such job. */
  isUnknown: boolean;
  tasks: Map<string, TaskHistory>;
}

/**
 * Records what callers, endpoints and the operator observe, and checks the guarantees of the system
 * against it. Most violations are detected while the soak runs, the others by `checkFinalState`.
 */
export class SoakHistory {
  readonly violations: string[] = [];
  private readonly jobs = new Map<string, JobHistory>();
  private readonly usage: EndpointUsage;
  private acknowledgedVersion = 0;
  private acknowledgementListeners: (() => void)[] = [];
  private readonly documents = new Map<number, string>();
  private readonly startMs = performance.now();

  constructor(capacityMillis: number) {
    this.usage = new EndpointUsage(capacityMillis);
  }

  /** Returns the ids of the accepted jobs of a kind. */
  listAccepted(kind: SoakJobKind): string[] {
    return [...this.jobs.values()]
      .filter(({ job, outcomes }) => job.kind === kind && outcomes.includes('accepted'))
      .map(({ job }) => job.id);
  }

  /** Number of runs that endpoints have started. */
  startCount = 0;

  recordSubmission(job: SoakJob): void {
    const tasks = new Map<string, TaskHistory>();
    this.jobs.set(job.id, {
      job,
      outcomes: [],
      openCalls: 0,
      isCancelling: false,
      isCancelled: false,
      isUnknown: false,
      tasks,
    });
  }

  /** Records that a caller sends the submission of a job, for the first time or again. */
  recordCall(id: string): void {
    const history = this.jobs.get(id);
    if (history) history.openCalls += 1;
  }

  recordOutcome(id: string, outcome: CallOutcome): void {
    const history = this.jobs.get(id);
    if (!history) return;
    history.openCalls = Math.max(0, history.openCalls - 1);
    history.outcomes.push(outcome);
    if (outcome === 'accepted') this.notifyAcknowledgement();
  }

  /** Resolves at the next acknowledgement of a job or a configuration, or after `maxMs`. */
  waitForAcknowledgement(maxMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, maxMs);
      this.acknowledgementListeners.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  recordCancellationSent(id: string): void {
    const history = this.jobs.get(id);
    if (history) history.isCancelling = true;
  }

  /** @param isKnown - Whether the acknowledgement said that there is such a job. */
  recordCancellation(id: string, isKnown = true): void {
    const history = this.jobs.get(id);
    if (!history) return;
    history.isCancelled = true;
    history.isUnknown = !isKnown;
    if (!isKnown && history.outcomes.includes('accepted')) {
      this.violations.push(`${id} was accepted, but its cancellation found no job`);
    }
  }

  /** Records that an endpoint has started a run. */
  recordStart(endpoint: string, name: string, run: number): void {
    this.startCount += 1;
    const { history, task, step } = this.findTask(name);
    if (task) this.recordEvent(task, `run ${run} starts on ${endpoint}`);
    if (!history || !task) {
      this.violations.push(`${name} was started on ${endpoint}, but no caller submitted its job`);
      return;
    }
    if (task.runningOn.size > 0) {
      const places = `on ${[...task.runningOn].join()} and ${endpoint}`;
      this.violations.push(`${name} runs twice: ${places}: ${task.events.join('; ')}`);
    }
    if (history.openCalls === 0 && SoakHistory.isRefused(history)) {
      this.violations.push(`${name} was started on ${endpoint}, but its job had been refused`);
    }
    if (history.isUnknown) {
      this.violations.push(`${name} was started on ${endpoint}, but its cancellation found no job`);
    }
    for (const doneRun of task.doneRuns.values()) doneRun.isBeforeStart = true;
    if (history.job.kind === 'crashing' && task.crashCount >= MAX_CRASHES) {
      this.recordStartAfterCrashes(name, task);
    }
    task.runningOn.add(endpoint);
    this.usage.add(endpoint, name, history.job);
    const usedMillis = this.usage.getUsedMillis(endpoint);
    if (usedMillis > this.usage.getLimitMillis(endpoint)) {
      this.violations.push(`${endpoint} is overcommitted: ${usedMillis}`);
    }
    if (step > 0 && !this.isStepDone(history, step - 1)) {
      this.violations.push(`${name} was started before step ${step - 1} had ended`);
    }
  }

  /** Records that a run has ended, possibly because its endpoint crashed. */
  recordEnd(endpoint: string, name: string, run: number, outcome: RunOutcome): void {
    const { history, task } = this.findTask(name);
    if (!history || !task?.runningOn.delete(endpoint)) return;
    this.usage.remove(endpoint, name);
    this.recordEvent(task, `run ${run} ends ${outcome} on ${endpoint}`);
    if (outcome === 'lost') task.crashCount += 1;
    if (outcome === 'failed') task.failedCount += 1;
    if (outcome !== 'done') return;
    task.doneRuns.set(run, { endpoint, isBeforeStart: false, acknowledgement: 'pending' });
  }

  /** Records that the system has acknowledged the end of a run. */
  recordAcknowledgement(name: string, run: number): void {
    const { task } = this.findTask(name);
    if (!task) return;
    this.recordEvent(task, `end of run ${run} is acknowledged`);
    const doneRun = task.doneRuns.get(run);
    if (doneRun?.acknowledgement === 'pending') doneRun.acknowledgement = 'received';
  }

  /** Records that the lease of an endpoint has expired. */
  recordLapse(endpoint: string): void {
    for (const { tasks } of this.jobs.values()) {
      for (const task of tasks.values()) this.recordTaskLapse(task, endpoint);
    }
  }

  /** Returns the names of service tasks that do not run although an endpoint has room for them. */
  listDownServiceTasks(endpoints: string[]): string[] {
    return this.listAccepted('service').flatMap((id) => {
      const { job, tasks, isCancelling } = this.jobs.get(id)!;
      if (isCancelling || !this.usage.hasRoom(job, endpoints)) return [];
      const indices = Array.from({ length: job.tasksPerStep[0]! }, (_, index) => index);
      const names = indices.map((index) => `${id}.0.0.${index}`);
      return names.filter((name) => !tasks.get(name)?.runningOn.size);
    });
  }

  recordServiceDown(name: string, downMs: number): void {
    const { task } = this.findTask(name);
    const events = task?.events.join('; ');
    this.violations.push(`${name} has not run for ${Math.round(downMs)} ms: ${events}`);
  }

  /** Whether a task of a cancelled job runs. */
  get hasCancelledRun(): boolean {
    return [...this.jobs.values()].some(
      ({ isCancelled, tasks }) =>
        isCancelled && [...tasks.values()].some(({ runningOn }) => runningOn.size > 0),
    );
  }

  /** Records the state of a job that the system reported to a caller. */
  recordReportedState(id: string, state: string): void {
    const history = this.jobs.get(id);
    if (!history) return;
    if (state === 'failed' && !SoakHistory.hasFailureCause(history)) {
      this.violations.push(`${id} is reported as failed without cause`);
    }
    if (state === 'cancelled' && !history.isCancelling) {
      this.violations.push(`${id} is reported as cancelled, but nobody cancelled it`);
    }
    if (state !== 'completed') return;
    history.job.tasksPerStep.forEach((_, step) => {
      if (!this.isStepDone(history, step)) {
        this.violations.push(`${id} is reported as completed, but step ${step} has not ended`);
      }
    });
  }

  /** Records that an endpoint reports a capacity. */
  recordCapacity(endpoint: string, millis: number): void {
    this.usage.recordCapacity(endpoint, millis);
  }

  recordCapacityAcknowledged(endpoint: string, millis: number): void {
    this.usage.recordCapacityAcknowledged(endpoint, millis);
  }

  recordConfigSent(version: number, document: string): void {
    this.documents.set(version, document);
  }

  recordConfigAcknowledged(version: number): void {
    this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version);
    this.notifyAcknowledgement();
  }

  /** Minimum configuration version that a read sent now must return. */
  get requiredVersion(): number {
    return this.acknowledgedVersion;
  }

  recordConfigRead(document: string, requiredVersion: number): void {
    const { version } = JSON.parse(document) as { version: number };
    if (version < requiredVersion) {
      this.violations.push(`configuration ${version} was read after ${requiredVersion}`);
    }
    if (this.documents.get(version) !== document) {
      this.violations.push(`configuration ${version} was read with other content`);
    }
  }

  /** Checks the guarantees that can be checked only after the soak has ended. */
  checkFinalState(): void {
    for (const history of this.jobs.values()) {
      const { job, isCancelled, tasks } = history;
      const isRefused = SoakHistory.isRefused(history);
      for (const [name, task] of tasks) {
        if (isRefused) this.violations.push(`${name} was started, but its job was refused`);
        const doneRuns = [...task.doneRuns.values()];
        const wasAcknowledged = ({ isBeforeStart, acknowledgement }: DoneRun): boolean =>
          isBeforeStart && acknowledgement === 'received';
        if (doneRuns.some(wasAcknowledged)) {
          const events = task.events.join('; ');
          this.violations.push(
            `${name} was started after its end had been acknowledged: ${events}`,
          );
        }
        if (isCancelled && task.runningOn.size > 0) {
          this.violations.push(`${name} still runs, but ${job.id} was cancelled`);
        }
      }
    }
  }

  private static hasFailureCause({ job, tasks }: JobHistory): boolean {
    if (job.kind === 'service') return false;
    return [...tasks.values()].some(
      ({ failedCount, crashCount }) =>
        failedCount >= MAX_ATTEMPTS ||
        (job.kind === 'crashing' && crashCount >= MAX_PROMPT_CRASHES),
    );
  }

  private static isRefused({ outcomes }: JobHistory): boolean {
    return outcomes.length > 0 && outcomes.every((outcome) => outcome === 'refused');
  }

  private recordStartAfterCrashes(name: string, task: TaskHistory): void {
    task.lateStartCount += 1;
    if (task.lateStartCount !== MAX_STARTS_AFTER_CRASHES) return;
    const text = `was started ${MAX_STARTS_AFTER_CRASHES} times more after ${MAX_CRASHES} crashes`;
    this.violations.push(`${name} ${text}: ${task.events.join('; ')}`);
  }

  private recordTaskLapse(task: TaskHistory, endpoint: string): void {
    for (const [run, doneRun] of task.doneRuns) {
      if (doneRun.endpoint !== endpoint || doneRun.acknowledgement !== 'pending') continue;
      doneRun.acknowledgement = 'lapsed';
      this.recordEvent(task, `lease of ${endpoint} expires before run ${run} is acknowledged`);
    }
  }

  private recordEvent(task: TaskHistory, event: string): void {
    task.events.push(`${Math.round(performance.now() - this.startMs)} ms ${event}`);
  }

  private notifyAcknowledgement(): void {
    for (const listener of this.acknowledgementListeners.splice(0)) listener();
  }

  private findTask(name: string): { history?: JobHistory; task?: TaskHistory; step: number } {
    const [id = '', , step, index] = name.split('.');
    const history = this.jobs.get(id);
    const taskCount = history?.job.tasksPerStep[Number(step)] ?? 0;
    if (!history || Number(index) >= taskCount) return { step: 0 };
    let task = history.tasks.get(name);
    if (!task) {
      task = {
        events: [],
        runningOn: new Set(),
        doneRuns: new Map(),
        failedCount: 0,
        crashCount: 0,
        lateStartCount: 0,
      };
      history.tasks.set(name, task);
    }
    return { history, task, step: Number(step) };
  }

  private isStepDone({ job, tasks }: JobHistory, step: number): boolean {
    for (let index = 0; index < job.tasksPerStep[step]!; index += 1) {
      if (!tasks.get(`${job.id}.0.${step}.${index}`)?.doneRuns.size) return false;
    }
    return true;
  }
}
