import type { Resources } from '@lagoongap/model/resources.js';

import { PriorityTotals } from './priorityTotals.js';

/** Capacity that the query in flight for a step is expected to use. */
export interface ExpectedStepUse {
  organisation: string;
  priority: number;
  /** Resources of one task. */
  size: Resources;
  /** Expected number of tasks, fractions included, by endpoint. */
  tasks: ReadonlyMap<string, number>;
}

/**
 * Tracks the capacity that queries in flight are expected to use, by endpoint and organisation, so
 * that steps of the same or a lower priority query for other capacity.
 */
export class ExpectedUse {
  private readonly steps = new Map<string, ExpectedStepUse>();
  private readonly endpoints = new PriorityTotals();
  private readonly organisations = new PriorityTotals();

  /** Replaces the expected use of a step. */
  set(step: string, use: ExpectedStepUse): void {
    this.delete(step);
    this.steps.set(step, use);
    this.apply(use, 1);
  }

  /** Deletes the expected use of a step whose query has ended. */
  delete(step: string): void {
    const use = this.steps.get(step);
    if (!use) return;
    this.steps.delete(step);
    this.apply(use, -1);
  }

  /** Returns the use of an endpoint that is expected for steps of a priority or a higher one. */
  onEndpoint(endpoint: string, priority: number): Resources {
    return this.endpoints.read(endpoint, priority);
  }

  /** Returns the use of an organisation that is expected for steps of a priority or a higher one. */
  byOrganisation(organisation: string, priority: number): Resources {
    return this.organisations.read(organisation, priority);
  }

  private apply({ organisation, priority, size, tasks }: ExpectedStepUse, sign: 1 | -1): void {
    let sum = 0;
    for (const [endpoint, count] of tasks) {
      this.endpoints.add(endpoint, priority, size, count, sign);
      sum += count;
    }
    this.organisations.add(organisation, priority, size, sum, sign);
  }
}
