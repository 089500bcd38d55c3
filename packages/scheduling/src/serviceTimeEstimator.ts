import type { EndpointView } from './scheduler.js';

/** Weight of a new sample in the moving average of a kind of work. */
const NEW_SAMPLE_WEIGHT = 0.05;

/** Weight of the estimate from the announced speed, in samples of the endpoint. */
const PRIOR_SAMPLES = 3;

/** Number of samples of an endpoint above which older ones lose weight. */
const MAX_SAMPLES = 20;

/** Expected service time of a kind of work without samples, in milliseconds. */
const DEFAULT_SERVICE_TIME_MS = 100;

/** Lower bound for the speed of an endpoint, as an endpoint may announce zero. */
const MIN_SPEED = 0.01;

interface EndpointTime {
  meanMs: number;
  samples: number;
}

/** Estimated service times of one kind of work. */
export interface WorkTimes {
  /** Mean time at speed 1, in milliseconds. */
  nominalMs: number;
  readonly endpoints: Map<string, EndpointTime>;
}

const DEFAULT_TIMES: WorkTimes = { nominalMs: DEFAULT_SERVICE_TIME_MS, endpoints: new Map() };

/** Estimates the service time of each kind of work per endpoint from speeds and samples. */
export class ServiceTimeEstimator {
  private readonly works = new Map<string, WorkTimes>();

  /** Records the duration of one attempt. */
  recordDuration(endpoint: EndpointView, work: string, durationMs: number): void {
    const nominalMs = durationMs * Math.max(endpoint.speed, MIN_SPEED);
    let times = this.works.get(work);
    if (!times) {
      times = { nominalMs, endpoints: new Map() };
      this.works.set(work, times);
    }
    times.nominalMs += NEW_SAMPLE_WEIGHT * (nominalMs - times.nominalMs);
    let time = times.endpoints.get(endpoint.id);
    if (!time) {
      time = { meanMs: durationMs, samples: 0 };
      times.endpoints.set(endpoint.id, time);
    }
    time.samples = Math.min(MAX_SAMPLES, time.samples + 1);
    time.meanMs += (durationMs - time.meanMs) / time.samples;
  }

  /** Returns the estimated times of a kind of work, or defaults without samples. */
  getTimes(work: string): WorkTimes {
    return this.works.get(work) ?? DEFAULT_TIMES;
  }

  /** Returns the expected service time on an endpoint, in milliseconds. */
  estimate(endpoint: EndpointView, times: WorkTimes): number {
    const priorMs = times.nominalMs / Math.max(endpoint.speed, MIN_SPEED);
    const time = times.endpoints.get(endpoint.id);
    if (!time) return priorMs;
    const weighted = time.meanMs * time.samples + priorMs * PRIOR_SAMPLES;
    return weighted / (time.samples + PRIOR_SAMPLES);
  }

  removeEndpoint(endpointId: string): void {
    for (const { endpoints } of this.works.values()) endpoints.delete(endpointId);
  }
}
