import type { EndpointView } from './scheduler.js';

/** Weight of a new sample in the average of a kind of work. */
const WORK_WEIGHT = 0.05;

/** Samples that the announced speed counts for; more samples of an endpoint outweigh it. */
const PRIOR_SAMPLES = 3;

/** Samples after which older ones of an endpoint fade. */
const MAX_SAMPLES = 20;

/** Expected time of work of which nothing is known yet, in milliseconds. */
const UNKNOWN_TIME_MS = 100;

/** Least speed that is assumed, as an endpoint may announce zero. */
const MIN_SPEED = 0.01;

interface LearnedTime {
  meanMs: number;
  samples: number;
}

/** Times of one kind of work. */
export interface WorkTimes {
  /** Mean time at speed 1, in milliseconds. */
  nominalMs: number;
  readonly endpoints: Map<string, LearnedTime>;
}

const NO_TIMES: WorkTimes = { nominalMs: UNKNOWN_TIME_MS, endpoints: new Map() };

/** Learns how long each kind of work takes on each endpoint, starting from announced speeds. */
export class ServiceTimeEstimator {
  private readonly works = new Map<string, WorkTimes>();

  /** Records the time that one attempt took. */
  learn(endpoint: EndpointView, work: string, durationMs: number): void {
    const nominalMs = durationMs * Math.max(endpoint.speed, MIN_SPEED);
    let times = this.works.get(work);
    if (!times) {
      times = { nominalMs, endpoints: new Map() };
      this.works.set(work, times);
    }
    times.nominalMs += WORK_WEIGHT * (nominalMs - times.nominalMs);
    let time = times.endpoints.get(endpoint.id);
    if (!time) {
      time = { meanMs: durationMs, samples: 0 };
      times.endpoints.set(endpoint.id, time);
    }
    time.samples = Math.min(MAX_SAMPLES, time.samples + 1);
    time.meanMs += (durationMs - time.meanMs) / time.samples;
  }

  /** Returns what is known of a kind of work. */
  read(work: string): WorkTimes {
    return this.works.get(work) ?? NO_TIMES;
  }

  /** Returns the expected time of work on an endpoint, in milliseconds. */
  estimate(endpoint: EndpointView, times: WorkTimes): number {
    const priorMs = times.nominalMs / Math.max(endpoint.speed, MIN_SPEED);
    const time = times.endpoints.get(endpoint.id);
    if (!time) return priorMs;
    const weighted = time.meanMs * time.samples + priorMs * PRIOR_SAMPLES;
    return weighted / (time.samples + PRIOR_SAMPLES);
  }

  forget(endpointId: string): void {
    for (const { endpoints } of this.works.values()) endpoints.delete(endpointId);
  }
}
