import type { EndpointView } from './scheduler.js';

/** Weight of a new sample in the average of a kind of work. */
const WORK_WEIGHT = 0.05;

/** Samples that the announced speed counts for; more samples of an endpoint outweigh it. */
const PRIOR_SAMPLES = 3;

/** Samples after which older ones of an endpoint fade. */
const MAX_SAMPLES = 20;

/** Expected time of work of which nothing is known yet, in milliseconds. */
const UNKNOWN_TIME_MS = 100;

interface LearnedTime {
  meanMs: number;
  samples: number;
}

/** Learns how long each kind of work takes on each endpoint, starting from announced speeds. */
export class ServiceTimeEstimator {
  /** Mean time at speed 1, by kind of work. */
  private readonly works = new Map<string, number>();
  /** Times by kind of work, by endpoint. */
  private readonly endpoints = new Map<string, Map<string, LearnedTime>>();

  /** Records the time that one attempt took. */
  learn(endpoint: EndpointView, work: string, durationMs: number): void {
    const nominalMs = durationMs * endpoint.speed;
    const meanMs = this.works.get(work) ?? nominalMs;
    this.works.set(work, meanMs + WORK_WEIGHT * (nominalMs - meanMs));
    const times = this.endpoints.get(endpoint.id) ?? new Map<string, LearnedTime>();
    this.endpoints.set(endpoint.id, times);
    const time = times.get(work) ?? { meanMs: durationMs, samples: 0 };
    times.set(work, time);
    time.samples = Math.min(MAX_SAMPLES, time.samples + 1);
    time.meanMs += (durationMs - time.meanMs) / time.samples;
  }

  /** Returns the expected time of work on an endpoint, in milliseconds. */
  estimate(endpoint: EndpointView, work: string): number {
    const priorMs = (this.works.get(work) ?? UNKNOWN_TIME_MS) / Math.max(endpoint.speed, 0.01);
    const time = this.endpoints.get(endpoint.id)?.get(work);
    if (!time) return priorMs;
    const weighted = time.meanMs * time.samples + priorMs * PRIOR_SAMPLES;
    return weighted / (time.samples + PRIOR_SAMPLES);
  }

  forget(endpointId: string): void {
    this.endpoints.delete(endpointId);
  }
}
