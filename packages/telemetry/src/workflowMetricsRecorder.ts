import type { CallFailureReason, FailedCallState, TakeoverPhase } from './callFailure.js';
import type { RunLossReason } from './runLossReason.js';

/** Waiting steps of the queues of one priority. */
export interface WaitingSteps {
  steps: number;
  tasks: number;
  /** Longest time for which one of them has been ready to start. */
  longestWaitMs: number;
}

/**
 * What became of a request for a query to the advisor: its answer was `used` for a start or not,
 * the query `failed`, or none was sent for the other reasons.
 */
export type AdviceRequestResult =
  'used' | 'unused' | 'failed' | 'not-waiting' | 'at-limit' | 'covered' | 'no-room' | 'too-many';

/** Records the metrics of the workflow layer and its gateways; durations are in milliseconds. */
export interface WorkflowMetricsRecorder {
  countCall(operation: string, answer: string, durationMs: number): void;
  countRunOrdered(waitedMs: number): void;
  countRunEnded(outcome: string): void;
  /** Counts runs that ended without a report of their endpoint. */
  countLostRuns(reason: RunLossReason, count: number): void;
  /** Counts a crash of an endpoint, and the runs that were on it. */
  countEndpointCrash(runs: number): void;
  countJobEnded(status: string, durationMs: number): void;
  /** Counts a submission that arrived after its cancellation. */
  countLateSubmission(): void;
  /** Sets the number of recorded cancellations whose submissions have not arrived. */
  setEarlyCancellations(count: number): void;
  countAdvice(isAnswered: boolean, durationMs: number): void;
  /** Counts a request for a query to the advisor by what became of it. */
  countAdviceRequest(result: AdviceRequestResult): void;
  /** Records the time of a call to the advisor, measured by the instance that made it. */
  observeAdviceCall(priority: string, durationMs: number): void;
  /** Sets the number of requests that no instance has yet, and the age of the oldest one. */
  setAdviceBacklog(requests: number, oldestMs: number): void;
  countCommit(durationMs: number): void;
  countOrder(order: string, outcome: string, durationMs: number): void;
  countLeadership(): void;
  setEndpoints(available: number, known: number): void;
  /** Sets the number of evacuated data centres, and of the endpoints there that accept work. */
  setEvacuations(dataCentres: number, endpoints: number): void;
  /** Sets the number of endpoints that have reported a warm-up that is not over. */
  setColdEndpoints(count: number): void;
  setConfigVersion(version: number): void;
  /** Counts a call of a caller that was refused or got no response. */
  countCallFailure(reason: CallFailureReason, state: FailedCallState): void;
  /** Counts one failed try at the leader; a call may take several. */
  countTryFailure(reason: CallFailureReason): void;
  /** Counts a heartbeat that cannot come from an endpoint, by its first invalid field. */
  countRejectedHeartbeat(field: string): void;
  /** Counts a request or connection of a client that a limit has refused or closed. */
  countClientLimit(listener: string, limit: string): void;
  /** Adds time for which this instance had no valid leader. */
  addLeaderAbsence(durationMs: number): void;
  setLeaderAbsent(isAbsent: boolean): void;
  /** Adds time for which this instance led without valid leadership. */
  addInvalidLeadership(durationMs: number): void;
  /** Records a phase of a change of leader, measured from the election. */
  observeTakeover(phase: TakeoverPhase, durationMs: number): void;
  observeEventLoopDelay(durationMs: number): void;
  /** Records the time that the leader took for a call of another instance. */
  observeLeaderCall(method: string, isAnswered: boolean, durationMs: number): void;
  /** Counts a run that was stopped for more urgent work, by the priority of its own queue. */
  countPreemptedRun(priority: number): void;
  /** Records the time from the stop of a run to the placement of a task in its room. */
  observeFreedRoomUse(durationMs: number): void;
  /** Counts reservations of capacity that expired before their step used them. */
  countExpiredHolds(count: number): void;
  /** Replaces the waiting steps of all priorities. */
  setWaitingSteps(waiting: ReadonlyMap<number, WaitingSteps>): void;
  /** Replaces the number of waiting jobs that are expected to be late, for all priorities. */
  setExpectedLateJobs(jobs: ReadonlyMap<number, number>): void;
  /** Sets the number of classes of work whose durations have been learned. */
  setDurationClasses(count: number): void;
  /** Sets the number of service tasks without a run, and for how long the first of them has none. */
  setServiceOutages(tasks: number, longestMs: number): void;
}

/** Discards all metrics. */
export const NOOP_METRICS_RECORDER: WorkflowMetricsRecorder = {
  countCall() {},
  countRunOrdered() {},
  countRunEnded() {},
  countLostRuns() {},
  countEndpointCrash() {},
  countJobEnded() {},
  countLateSubmission() {},
  setEarlyCancellations() {},
  countAdvice() {},
  countAdviceRequest() {},
  observeAdviceCall() {},
  setAdviceBacklog() {},
  countCommit() {},
  countOrder() {},
  countLeadership() {},
  setEndpoints() {},
  setEvacuations() {},
  setColdEndpoints() {},
  setConfigVersion() {},
  countCallFailure() {},
  countTryFailure() {},
  countRejectedHeartbeat() {},
  countClientLimit() {},
  addLeaderAbsence() {},
  setLeaderAbsent() {},
  addInvalidLeadership() {},
  observeTakeover() {},
  observeEventLoopDelay() {},
  observeLeaderCall() {},
  countPreemptedRun() {},
  observeFreedRoomUse() {},
  countExpiredHolds() {},
  setWaitingSteps() {},
  setExpectedLateJobs() {},
  setDurationClasses() {},
  setServiceOutages() {},
};
