import type { EndpointState } from '@lagoongap/model/endpoint.js';
import type { RefusalType } from '@lagoongap/model/refusal.js';
import type { ResourceName } from '@lagoongap/model/resources.js';
import type { WorkloadKind } from '@lagoongap/model/workload.js';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { LABEL_VALUES } from './labelValues.js';
import { boundLabel, OTHER } from './labelValues.js';
import { METRIC_DEFINITIONS, type MetricDefinition, type MetricName } from './metricDefinitions.js';

/** Options of {@link Metrics}. */
export interface MetricsOptions {
  /** Adds the metrics of the process such as memory and event loop lag; true by default. */
  processMetrics?: boolean;
}

/** What is shown of one team; amounts that are absent are not shown. */
export interface TeamMetrics {
  running: Partial<Record<ResourceName | 'tasks', number>>;
  limit: Partial<Record<ResourceName | 'tasks', number>>;
  /** Part of the cluster the team is entitled to, 0 to 1. */
  share: number;
  /** Dominant part of the cluster that the team has, 0 to 1. */
  usedShare: number;
}

/** Teams beyond this number are shown together; the target is 91 teams. */
const MAX_TEAMS = 250;

const MS_PER_SECOND = 1000;

/** Metrics of one process in a registry of their own. Durations are given in milliseconds. */
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

  /** Type of {@link render}'s text for the HTTP response. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Writes all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    if (this.readValidity) {
      const { gatewayMs, leaderMs } = this.readValidity();
      this.setGauge('gatewayValidity', {}, Math.max(0, gatewayMs) / MS_PER_SECOND);
      this.setGauge('leaderValidity', {}, Math.max(0, leaderMs) / MS_PER_SECOND);
    }
    return this.registry.metrics();
  }

  /** Sets the function that is asked for the remaining validity whenever metrics are read. */
  setValiditySource(read: () => { gatewayMs: number; leaderMs: number }): void {
    this.readValidity = read;
  }

  observeWaiting(kind: WorkloadKind, durationMs: number): void {
    this.observe('waiting', { kind: boundLabel('kind', kind) }, durationMs);
  }

  setWaitingUnits(kind: WorkloadKind, count: number): void {
    this.setGauge('waitingUnits', { kind: boundLabel('kind', kind) }, count);
  }

  observeDecision(durationMs: number): void {
    this.observe('decision', {}, durationMs);
  }

  countPlacements(kind: WorkloadKind, count = 1): void {
    this.count('placements', { kind: boundLabel('kind', kind) }, count);
  }

  countPreemption(action: 'checkpoint' | 'throttle' | 'stop'): void {
    this.count('preemptions', { action: boundLabel('action', action) });
  }

  countRefusal(type: RefusalType): void {
    this.count('refusals', { type: boundLabel('type', type) });
  }

  /** Replaces what is shown of all teams, so that withdrawn teams disappear. */
  setTeams(teams: ReadonlyMap<string, TeamMetrics>): void {
    for (const name of ['teamRunning', 'teamLimit', 'teamShare', 'teamUsedShare'] as const) {
      this.gauges.get(name)!.reset();
    }
    let shown = 0;
    for (const [name, values] of teams) {
      this.addTeam(shown < MAX_TEAMS ? name : OTHER, values);
      shown += 1;
    }
  }

  setPacking(resource: ResourceName, ratio: number): void {
    this.setGauge('packing', { resource: boundLabel('resource', resource) }, ratio);
  }

  setEndpoints(state: EndpointState, count: number): void {
    this.setGauge('endpoints', { state: boundLabel('state', state) }, count);
  }

  countEjection(): void {
    this.count('ejections', {});
  }

  setEjected(count: number): void {
    this.setGauge('ejected', {}, count);
  }

  countRetry(result: 'attempted' | 'over-budget'): void {
    this.count('retries', { result: boundLabel('result', result) });
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
    const bounded = boundLabel('direction', direction);
    const labels = { direction: bounded, method: boundLabel('method', method) };
    this.count('peerMessages', labels);
    this.count('peerBytes', { direction: bounded }, bytes);
  }

  /** Adds traffic that is not told apart by method. */
  addPeerTraffic(direction: 'sent' | 'received', messages: number, bytes: number): void {
    const bounded = boundLabel('direction', direction);
    this.count('peerMessages', { direction: bounded, method: OTHER }, messages);
    this.count('peerBytes', { direction: bounded }, bytes);
  }

  addControlTime(activity: (typeof LABEL_VALUES.activity)[number], durationMs: number): void {
    const labels = { activity: boundLabel('activity', activity) };
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
