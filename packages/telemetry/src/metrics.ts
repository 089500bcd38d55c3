import type { EndpointState } from '@lagoongap/model/endpoint.js';
import type { RefusalType } from '@lagoongap/model/refusal.js';
import type { ResourceName } from '@lagoongap/model/resources.js';
import type { WorkloadKind } from '@lagoongap/model/workload.js';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { LABEL_VALUES } from './labelValues.js';
import { normalizeLabelValue, OTHER_LABEL_VALUE } from './labelValues.js';
import { METRIC_DEFINITIONS, type MetricDefinition, type MetricName } from './metricDefinitions.js';

/** Options of {@link Metrics}. */
export interface MetricsOptions {
  /** Whether to add process metrics such as memory and event-loop lag; true by default. */
  processMetrics?: boolean;
}

/** Metric values of one team; absent amounts are not exported. */
export interface TeamMetrics {
  running: Partial<Record<ResourceName | 'tasks', number>>;
  limit: Partial<Record<ResourceName | 'tasks', number>>;
  /** Fraction of the cluster that the team is entitled to, from 0 to 1. */
  share: number;
  /** Largest fraction of any cluster resource that the team has reserved, from 0 to 1. */
  usedShare: number;
}

/** Teams beyond this number are exported under one label value; the system targets 91 teams. */
const MAX_TEAMS = 250;

const MS_PER_SECOND = 1000;

/** Metrics of one process, in a separate registry. Methods take durations in milliseconds. */
export class Metrics {
  readonly registry = new Registry();
  private readonly counters = new Map<MetricName, Counter>();
  private readonly gauges = new Map<MetricName, Gauge>();
  private readonly histograms = new Map<MetricName, Histogram>();
  private readValidity: (() => { gatewayMs: number; leaderMs: number }) | undefined;

  constructor(opts: MetricsOptions = {}) {
    const { processMetrics = true } = opts;
    if (processMetrics) collectDefaultMetrics({ register: this.registry });
    for (const name of Object.keys(METRIC_DEFINITIONS) as MetricName[]) this.register(name);
  }

  /** Content type of the text that {@link render} returns. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Renders all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    if (this.readValidity) {
      const { gatewayMs, leaderMs } = this.readValidity();
      this.setGauge('gatewayValidity', {}, Math.max(0, gatewayMs) / MS_PER_SECOND);
      this.setGauge('leaderValidity', {}, Math.max(0, leaderMs) / MS_PER_SECOND);
    }
    return this.registry.metrics();
  }

  /** Sets the function that returns the remaining validity; it is called on each {@link render}. */
  setValiditySource(read: () => { gatewayMs: number; leaderMs: number }): void {
    this.readValidity = read;
  }

  observeWaiting(kind: WorkloadKind, durationMs: number): void {
    this.observe('waiting', { kind: normalizeLabelValue('kind', kind) }, durationMs);
  }

  setWaitingUnits(kind: WorkloadKind, count: number): void {
    this.setGauge('waitingUnits', { kind: normalizeLabelValue('kind', kind) }, count);
  }

  observeDecision(durationMs: number): void {
    this.observe('decision', {}, durationMs);
  }

  countPlacements(kind: WorkloadKind, count = 1): void {
    this.count('placements', { kind: normalizeLabelValue('kind', kind) }, count);
  }

  countCrashLoss(kind: WorkloadKind): void {
    this.count('crashLosses', { kind: normalizeLabelValue('kind', kind) });
  }

  countCrashBound(kind: WorkloadKind): void {
    this.count('crashBounds', { kind: normalizeLabelValue('kind', kind) });
  }

  countPreemption(action: 'checkpoint' | 'throttle' | 'stop'): void {
    this.count('preemptions', { action: normalizeLabelValue('action', action) });
  }

  countRefusal(type: RefusalType): void {
    this.count('refusals', { type: normalizeLabelValue('type', type) });
  }

  countClientLimit(limit: string): void {
    this.count('clientLimits', { limit: normalizeLabelValue('limit', limit) });
  }

  /** Replaces the values of all teams, so that withdrawn teams are no longer exported. */
  setTeams(teams: ReadonlyMap<string, TeamMetrics>): void {
    for (const name of ['teamRunning', 'teamLimit', 'teamShare', 'teamUsedShare'] as const) {
      this.gauges.get(name)!.reset();
    }
    let count = 0;
    for (const [name, values] of teams) {
      this.addTeam(count < MAX_TEAMS ? name : OTHER_LABEL_VALUE, values);
      count += 1;
    }
  }

  setPacking(resource: ResourceName, ratio: number): void {
    this.setGauge('packing', { resource: normalizeLabelValue('resource', resource) }, ratio);
  }

  setEndpoints(state: EndpointState, count: number): void {
    this.setGauge('endpoints', { state: normalizeLabelValue('state', state) }, count);
  }

  countEjection(): void {
    this.count('ejections', {});
  }

  setEjected(count: number): void {
    this.setGauge('ejected', {}, count);
  }

  countRetry(result: 'attempted' | 'over-budget'): void {
    this.count('retries', { result: normalizeLabelValue('result', result) });
  }

  setInFlight(count: number): void {
    this.setGauge('inFlight', {}, count);
  }

  setConfigNumber(number: number): void {
    this.setGauge('configNumber', {}, number);
  }

  /** Records the commit of `entries` log entries that were proposed together. */
  observeCommit(durationMs: number, entries = 1): void {
    this.count('commits', {}, entries);
    this.observe('commit', {}, durationMs);
  }

  countPeerMessage(direction: 'sent' | 'received', method: string, bytes: number): void {
    const directionLabel = normalizeLabelValue('direction', direction);
    const labels = { direction: directionLabel, method: normalizeLabelValue('method', method) };
    this.count('peerMessages', labels);
    this.count('peerBytes', { direction: directionLabel }, bytes);
  }

  /** Adds traffic that is not broken down by method. */
  addPeerTraffic(direction: 'sent' | 'received', messages: number, bytes: number): void {
    const directionLabel = normalizeLabelValue('direction', direction);
    this.count('peerMessages', { direction: directionLabel, method: OTHER_LABEL_VALUE }, messages);
    this.count('peerBytes', { direction: directionLabel }, bytes);
  }

  addControlTime(activity: (typeof LABEL_VALUES.activity)[number], durationMs: number): void {
    const labels = { activity: normalizeLabelValue('activity', activity) };
    this.count('control', labels, durationMs / MS_PER_SECOND);
  }

  /** Removes all metrics from the registry. */
  [Symbol.dispose](): void {
    this.registry.clear();
  }

  private register(name: MetricName): void {
    const definition: MetricDefinition = METRIC_DEFINITIONS[name];
    const common = {
      name: definition.name,
      help: definition.help,
      labelNames: [...definition.labels],
      registers: [this.registry],
    };
    if (definition.type === 'counter') this.counters.set(name, new Counter(common));
    else if (definition.type === 'gauge') this.gauges.set(name, new Gauge(common));
    else {
      const buckets = [...(definition.buckets ?? [])];
      this.histograms.set(name, new Histogram({ ...common, buckets }));
    }
  }

  private addTeam(team: string, values: TeamMetrics): void {
    for (const [resource, amount] of Object.entries(values.running)) {
      this.gauges.get('teamRunning')!.inc({ team, resource }, amount);
    }
    for (const [resource, amount] of Object.entries(values.limit)) {
      this.gauges.get('teamLimit')!.inc({ team, resource }, amount);
    }
    this.gauges.get('teamShare')!.inc({ team }, values.share);
    this.gauges.get('teamUsedShare')!.inc({ team }, values.usedShare);
  }

  private count(name: MetricName, labels: Record<string, string>, amount = 1): void {
    this.counters.get(name)!.inc(labels, amount);
  }

  private setGauge(name: MetricName, labels: Record<string, string>, value: number): void {
    this.gauges.get(name)!.set(labels, value);
  }

  private observe(name: MetricName, labels: Record<string, string>, durationMs: number): void {
    this.histograms.get(name)!.observe(labels, Math.max(0, durationMs) / MS_PER_SECOND);
  }
}
