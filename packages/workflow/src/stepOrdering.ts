import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import { AgedSteps } from './agedSteps.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import type { DurationForecast } from './durationForecast.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { assessSlack, type SlackAssessment } from './jobSlack.js';
import type { ReadyStep } from './readySteps.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import { ShareHistory, sumCapacity } from './shareHistory.js';
import type { PlacementPreference } from './stepPlacer.js';
import { orderBySlack } from './slackOrder.js';
import { orderSteps } from './stepOrder.js';

/** Maximum age of the sum of the capacities of all endpoints. */
const CAPACITY_MAX_AGE_MS = 1000;

/** Part of the slack that patient work may lose on a slow endpoint. */
const SLACK_SHARE = 0.5;

/** Factor from which an endpoint is not slow by kind but impaired, so that no work prefers it. */
const MAX_PATIENT_FACTOR = 2;

/** Returns the factor up to which a step that starts now leaves faster endpoints to others. */
export function toPatientFactor({ slackMs, pathMs }: SlackAssessment): number {
  if (pathMs <= 0 || slackMs <= pathMs) return 0;
  return Math.min(MAX_PATIENT_FACTOR, 1 + (SLACK_SHARE * slackMs) / pathMs);
}

/** Options of {@link StepOrdering}. */
export interface StepOrderingOptions {
  context: SessionContext;
  ledger: RunLedger;
  directory: EndpointDirectory;
  durations: DurationForecast;
}

/** Orders waiting steps: by learned durations and shares with a memory, if they are in use. */
export class StepOrdering {
  private readonly opts: StepOrderingOptions;
  private readonly shares = new ShareHistory();
  private readonly aged = new AgedSteps();
  private capacity: Resources = NO_RESOURCES;
  private capacityReadMs = -Infinity;

  constructor(opts: StepOrderingOptions) {
    this.opts = opts;
  }

  /** Returns the steps in the order in which they are placed. */
  order(
    steps: Iterable<ReadyStep>,
    config: CellConfig,
    queues: ReadonlyMap<string, QueuePolicy>,
  ): ReadyStep[] {
    const { context, ledger, durations } = this.opts;
    const findQueue = (name: string): QueuePolicy | undefined => queues.get(name);
    const wallMs = Date.now();
    const weights = new Map(config.organisations.map(({ name, weight }) => [name, weight]));
    const readWeight = (name: string): number => weights.get(name) || 1;
    if (!context.features.has('learned-durations')) {
      const readUsage = (name: string): number => ledger.usedBy(name).cpuMillis / readWeight(name);
      return orderSteps(steps, { findQueue, readUsage, wallMs });
    }
    const nowMs = performance.now();
    const usages = this.updateShares(config, nowMs);
    return orderBySlack(steps, {
      findQueue,
      readUsage: (name) => usages.get(name) ?? 0,
      readWeight,
      wallMs,
      readDurationMs: durations.reader,
      capacity: this.capacity,
      aged: this.aged,
      nowMs,
    });
  }

  /** Returns how the endpoints for a step are weighed; undefined if nothing is learned. */
  preferenceOf(ready: ReadyStep, queue: QueuePolicy): PlacementPreference | undefined {
    const { context, durations } = this.opts;
    if (!context.features.has('learned-durations')) return undefined;
    if (ready.spec.isService) return { patientFactor: 0 };
    return {
      patientFactor: toPatientFactor(assessSlack(ready, queue, Date.now(), durations.reader)),
    };
  }

  /** Updates the shares of all organisations; returns them relative to their weights. */
  private updateShares(config: CellConfig, nowMs: number): Map<string, number> {
    if (nowMs - this.capacityReadMs >= CAPACITY_MAX_AGE_MS) {
      const agents = this.opts.directory.list();
      this.capacity = sumCapacity(agents.map(({ record }) => record.capacity));
      this.capacityReadMs = nowMs;
    }
    const usages = new Map<string, number>();
    for (const { name, weight } of config.organisations) {
      const used = this.opts.ledger.usedBy(name);
      usages.set(name, this.shares.update(name, used, this.capacity, nowMs) / (weight || 1));
    }
    return usages;
  }
}
