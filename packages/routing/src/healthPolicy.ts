/** Identifies an attempt for the judgement of its endpoint and its unit. */
export interface AttemptRef {
  attemptId: string;
  /** Job or request identifier. */
  unitId: string;
  endpointId: string;
}

/** Change in how an endpoint is to be treated. */
export interface HealthChange {
  endpointId: string;
  /** Gets no work for now. */
  ejected: boolean;
  /** Gets work only if no sound endpoint is in use for it, not merely because all are busy. */
  penalized: boolean;
}

/** Receives changes; called synchronously. */
export type HealthListener = (change: HealthChange) => void;

/** Judges endpoints by the outcomes of attempts. */
export interface HealthPolicy extends Disposable {
  /**
   * Adds an endpoint or replaces its kinds of work. An endpoint that takes no work at present,
   * for instance because it is silent, has none.
   */
  setEndpoint(endpointId: string, works: readonly string[]): void;
  removeEndpoint(endpointId: string): void;
  /** Notes that an attempt is placed; on an endpoint that is on trial, it becomes the trial. */
  recordStart(attempt: AttemptRef): void;
  /** Notes that an attempt succeeded, or that a service has started well. */
  recordSuccess(attempt: AttemptRef): void;
  /** Notes that an attempt failed on its endpoint. */
  recordFailure(attempt: AttemptRef): void;
  /** Notes that an attempt ended without telling anything about its endpoint. */
  recordAbandoned(attempt: AttemptRef): void;
  /** Tells whether an endpoint gets no work for now. */
  isEjected(endpointId: string): boolean;
  /**
   * Tells whether an endpoint gets work only if no sound one is in use for it. Work should wait
   * for a busy sound endpoint instead: an endpoint that fails fast is always free, and in the
   * health bench with 10 of 30 runners failing it took 15% of the attempts otherwise.
   */
  isPenalized(endpointId: string): boolean;
  /**
   * Adds a listener.
   *
   * @returns function that removes it.
   */
  onChange(listener: HealthListener): () => void;
}
