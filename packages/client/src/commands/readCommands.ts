import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterStatus, EndpointStatus } from '@lagoongap/model/messages.js';
import { type AuditEntry, verifyAuditTrail } from '@lagoongap/release-notes/auditTrail.js';

import type { AuditResponse } from '../api.js';
import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { formatTable } from '../output.js';

function getJson<Result>(context: CommandContext, path: string): Promise<Result> {
  return context.call<Result>({ method: 'GET', path, retryPolicy: 'safe' });
}

function formatAmounts(amounts: object): string {
  const parts = Object.entries(amounts).map(([name, amount]) => `${name}=${amount}`);
  return parts.length === 0 ? '-' : parts.join(' ');
}

function listNames(names: string[]): string {
  return names.length === 0 ? 'none' : names.join(' ');
}

/** `status`: shows the instances and the leader. */
export async function showStatus(context: CommandContext): Promise<void> {
  const status = await getJson<ClusterStatus>(context, '/v1/status');
  const rows = status.instances.map((instance) => [
    instance.id,
    instance.dataCentre,
    instance.roles?.join('+'),
    instance.alive ? 'alive' : 'absent',
    instance.isReachable ? 'yes' : 'no',
    instance.number,
  ]);
  const head = [
    `leader ${status.leader}, term ${status.term}, note ${status.number} accepted`,
    `voters ${listNames(status.voters)}, learners ${listNames(status.learners)}`,
    `${status.running} running, ${status.waiting} waiting`,
  ].join('\n');
  const headings = ['INSTANCE', 'DATA CENTRE', 'ROLES', 'STATE', 'REACHABLE', 'NOTE'];
  context.output.result(status, `${head}\n\n${formatTable(headings, rows)}`);
}

function describeState({ state, ejected, evacuated }: EndpointStatus): string {
  return [state, ejected && 'ejected', evacuated && 'evacuated'].filter(Boolean).join(', ');
}

/** `endpoints`: lists workers and runners. */
export async function listEndpoints(context: CommandContext): Promise<void> {
  const received = await getJson<EndpointStatus[]>(context, '/v1/endpoints');
  const endpoints = received.sort((a, b) => a.id.localeCompare(b.id));
  const rows = endpoints.map((endpoint) => [
    endpoint.id,
    endpoint.kind,
    describeState(endpoint),
    endpoint.dataCentre,
    endpoint.rack,
    endpoint.attempts,
    formatAmounts(endpoint.size),
    endpoint.works.join(','),
  ]);
  const headings = ['ENDPOINT', 'KIND', 'STATE', 'DATA CENTRE', 'RACK', 'RUNNING', 'SIZE', 'WORKS'];
  context.output.result({ endpoints }, formatTable(headings, rows));
}

/** `teams`: lists teams with shares, limits and usage. */
export async function listTeams(context: CommandContext): Promise<void> {
  const config = await getJson<ClusterConfig>(context, '/v1/config');
  const status = await getJson<ClusterStatus>(context, '/v1/status');
  const teams = Object.values(config.teams).map((team) => {
    const running = status.runningByTeam?.[team.name];
    return { ...team, running, usedShare: status.teamShares[team.name] ?? 0 };
  });
  const rows = teams.map((team) => [
    team.name,
    team.share,
    formatAmounts(team.limit),
    formatAmounts(team.running ?? {}),
    `${(team.usedShare * 100).toFixed(1)}%`,
  ]);
  const table = formatTable(['TEAM', 'SHARE', 'LIMIT', 'RUNNING', 'USED'], rows);
  context.output.result({ teams }, table);
}

/** `queues`: lists queues with their waiting units. */
export async function listQueues(context: CommandContext): Promise<void> {
  const config = await getJson<ClusterConfig>(context, '/v1/config');
  const status = await getJson<ClusterStatus>(context, '/v1/status');
  const queues = Object.values(config.queues).map((queue) => ({
    ...queue,
    waiting: status.waitingByQueue[queue.name] ?? 0,
  }));
  const rows = queues.map((queue) => [
    queue.name,
    queue.kind,
    queue.priority,
    queue.open ? `open (${queue.chargedTeam})` : (queue.teams?.join(',') ?? 'all'),
    queue.works.join(','),
    queue.waiting,
    queue.maxWaiting,
  ]);
  const headings = ['QUEUE', 'KIND', 'PRIORITY', 'TEAMS', 'WORKS', 'WAITING', 'BOUND'];
  context.output.result({ queues }, formatTable(headings, rows));
}

function formatAuditEntry(entry: AuditEntry): unknown[] {
  const state = entry.accepted ? 'accepted' : 'refused';
  return [entry.index, entry.wallTime, entry.number, state, entry.by, entry.summary];
}

/** `audit [--verify]`: shows the audit trail or verifies its hash chain. */
export async function showAudit(context: CommandContext): Promise<void> {
  const { entries } = await getJson<AuditResponse>(context, '/v1/audit');
  if (!context.options.has('--verify')) {
    const headings = ['INDEX', 'TIME', 'NOTE', 'STATE', 'BY', 'SUMMARY'];
    context.output.result({ entries }, formatTable(headings, entries.map(formatAuditEntry)));
    return;
  }
  const fault = verifyAuditTrail(entries);
  if (fault) {
    throw new ClientError('auditBroken', `audit entry ${fault.index}: ${fault.message}`);
  }
  const last = entries[entries.length - 1];
  const text = last ? `, last hash ${last.hash}` : '';
  const data = { intact: true, entries: entries.length, lastHash: last?.hash };
  context.output.result(data, `${entries.length} audit entries are intact${text}`);
}
