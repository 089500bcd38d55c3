import type { HealthPolicy } from './healthPolicy.js';

/** Treats all endpoints as healthy; baseline for benchmarks. */
export class NoHealthPolicy implements HealthPolicy {
  setEndpoint(): void {}

  removeEndpoint(): void {}

  recordStart(): void {}

  recordSuccess(): void {}

  recordFailure(): void {}

  recordAbandoned(): void {}

  requestTrial(): void {}

  isEjected(): boolean {
    return false;
  }

  isPenalized(): boolean {
    return false;
  }

  onChange(): () => void {
    return () => {};
  }

  [Symbol.dispose](): void {}
}
