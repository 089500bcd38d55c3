import { RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { Metrics, TeamMetrics } from '@lagoongap/telemetry/metrics.js';

import type { EndpointLeases } from './endpointLeases.js';

/** Report interval. The gauges need full table scans, too slow for each scheduling cycle. */
const REPORT_INTERVAL_MS = 2000;

/** Options of {@link MetricsReporter}. */
export interface MetricsReporterOptions {
  state: ClusterState;
  scheduler: Scheduler;
  health: HealthPolicy;
  leases: EndpointLeases;
  metrics: Metrics;
}

/** Updates the gauges whose values only the leader knows. */
export class MetricsReporter {
  private readonly opts: MetricsReporterOptions;
  private nextReportAtMs = 0;

  constructor(opts: MetricsReporterOptions) {
    this.opts = opts;
  }

  /** Updates the gauges if the interval has passed. */
  report(nowMs: number): void {
    if (nowMs < this.nextReportAtMs) return;
    this.nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
    const { scheduler, metrics } = this.opts;
    const { packing, teamShares } = scheduler.readStats();
    for (const name of RESOURCE_NAMES) metrics.setPacking(name, packing[name]);
    this.reportTeams(teamShares);
    this.reportEndpoints();
  }

  private reportTeams(usedShares: Record<string, number>): void {
    const { teams } = this.opts.state.config;
    const total = Object.values(teams).reduce((sum, team) => sum + team.share, 0);
    const tasksByTeam = new Map<string, number>();
    for (const { team } of this.opts.state.attempts.values()) {
      tasksByTeam.set(team, (tasksByTeam.get(team) ?? 0) + 1);
    }
    const metricsByTeam = new Map<string, TeamMetrics>();
    for (const { name, share, limit } of Object.values(teams)) {
      metricsByTeam.set(name, {
        running: { tasks: tasksByTeam.get(name) ?? 0 },
        limit,
        share: share / total,
        usedShare: usedShares[name] ?? 0,
      });
    }
    this.opts.metrics.setTeams(metricsByTeam);
  }

  private reportEndpoints(): void {
    const { state, leases, health, metrics } = this.opts;
    const counts = { ready: 0, leaving: 0, silent: 0 };
    let ejected = 0;
    for (const endpoint of state.endpoints.values()) {
      counts[leases.resolveState(endpoint)] += 1;
      if (health.isEjected(endpoint.announcement.id)) ejected += 1;
    }
    for (const name of ['ready', 'leaving', 'silent'] as const) {
      metrics.setEndpoints(name, counts[name]);
    }
    metrics.setEjected(ejected);
  }
}
