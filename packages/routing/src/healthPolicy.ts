/** Identifies an attempt, its unit and its endpoint. */
export interface AttemptRef {
  attemptId: string;
  /** Job or request identifier. */
  unitId: string;
  endpointId: string;
}

/** Change of the health of an endpoint. */
export interface HealthChange {
  endpointId: string;
  /** Whether the endpoint currently gets no work. */
  ejected: boolean;
  /** Whether the endpoint gets work only if no healthy endpoint, idle or busy, can run it. */
  penalized: boolean;
}

/** Receives changes; called synchronously. */
export type HealthListener = (change: HealthChange) => void;

/** Evaluates the health of endpoints by the outcomes of attempts. */
export interface HealthPolicy extends Disposable {
  /**
   * Adds an endpoint or replaces its kinds of work. An endpoint that currently accepts no work, for
   * instance because it is unresponsive, has none.
   */
  setEndpoint(endpointId: string, works: readonly string[]): void;
  removeEndpoint(endpointId: string): void;
  /** Records that an attempt was placed; on an endpoint that awaits a trial, it is the trial. */
  recordStart(attempt: AttemptRef): void;
  /** Records that an attempt succeeded, or that a service has clearly started successfully. */
  recordSuccess(attempt: AttemptRef): void;
  /** Records that an attempt failed on its endpoint. */
  recordFailure(attempt: AttemptRef): void;
  /** Records that an attempt ended without evidence about its endpoint. */
  recordAbandoned(attempt: AttemptRef): void;
  /**
   * Requests a trial of an endpoint for work that no other endpoint can run. It is granted once the
   * shortest probation has passed, even if that of the endpoint is longer.
   */
  requestTrial(endpointId: string): void;
  /** Returns whether an endpoint currently gets no work. */
  isEjected(endpointId: string): boolean;
  /**
   * Returns whether an endpoint gets work only if no healthy endpoint can run it. Work should wait
   * for a busy healthy endpoint instead: an endpoint that fails fast is always idle. Without this
   * rule, the failing endpoints got 15% of the attempts in the health bench with 10 of 30 runners
   * failing.
   */
  isPenalized(endpointId: string): boolean;
  /**
   * Adds a listener.
   *
   * @returns function that removes it.
   */
  onChange(listener: HealthListener): () => void;
}
