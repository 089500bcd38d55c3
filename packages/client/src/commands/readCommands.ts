import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { type AuditEntry, verifyAuditTrail } from '@lagoongap/release-notes/auditTrail.js';

import type { AuditAnswer, ClusterStatus, EndpointList } from '../api.js';
import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { formatTable } from '../output.js';

function read<Answer>(context: CommandContext, path: string): Promise<Answer> {
  return context.call<Answer>({ method: 'GET', path, repetition: 'safe' });
}

function formatAmounts(amounts: object): string {
  const parts = Object.entries(amounts).map(([name, amount]) => `${name}=${amount}`);
  return parts.length === 0 ? '-' : parts.join(' ');
}

/** `status`: shows the instances and the leader. */
export async function showStatus(context: CommandContext): Promise<void> {
  const status = await read<ClusterStatus>(context, '/v1/status');
  const rows = status.instances.map((instance) => [
    instance.id,
    instance.dataCentre,
    instance.roles.join('+'),
    instance.alive ? 'alive' : 'absent',
    instance.draining ? 'draining' : '',
    instance.configNumber,
  ]);
  const leader = status.leaderId ?? 'none';
  const head = `leader ${leader}, term ${status.term}, note ${status.configNumber} in force`;
  const headings = ['INSTANCE', 'DATA CENTRE', 'ROLES', 'STATE', 'DRAIN', 'NOTE'];
  context.output.result(status, `${head}\n\n${formatTable(headings, rows)}`);
}

/** `endpoints`: lists workers and runners. */
export async function listEndpoints(context: CommandContext): Promise<void> {
  const answer = await read<EndpointList>(context, '/v1/endpoints');
  const rows = answer.endpoints.map((endpoint) => [
    endpoint.id,
    endpoint.kind,
    endpoint.state,
    endpoint.dataCentre,
    endpoint.rack,
    endpoint.running,
    formatAmounts(endpoint.size),
    endpoint.works.join(','),
  ]);
  const headings = ['ENDPOINT', 'KIND', 'STATE', 'DATA CENTRE', 'RACK', 'RUNNING', 'SIZE', 'WORKS'];
  context.output.result(answer, formatTable(headings, rows));
}

/** `teams`: lists teams with shares, limits and use. */
export async function listTeams(context: CommandContext): Promise<void> {
  const config = await read<ClusterConfig>(context, '/v1/config');
  const status = await read<ClusterStatus>(context, '/v1/status');
  const teams = Object.values(config.teams).map((team) => {
    const use = status.teams?.find((each) => each.name === team.name);
    return { ...team, running: use?.running, waiting: use?.waiting };
  });
  const rows = teams.map((team) => [
    team.name,
    team.share,
    formatAmounts(team.limit),
    formatAmounts(team.running ?? {}),
    team.waiting,
  ]);
  const table = formatTable(['TEAM', 'SHARE', 'LIMIT', 'RUNNING', 'WAITING'], rows);
  context.output.result({ teams }, table);
}

/** `queues`: lists queues with their waiting units. */
export async function listQueues(context: CommandContext): Promise<void> {
  const config = await read<ClusterConfig>(context, '/v1/config');
  const status = await read<ClusterStatus>(context, '/v1/status');
  const queues = Object.values(config.queues).map((queue) => {
    const use = status.queues?.find((each) => each.name === queue.name);
    return { ...queue, waiting: use?.waiting };
  });
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

/** `audit [--verify]`: shows the audit trail, and checks its hash chain. */
export async function showAudit(context: CommandContext): Promise<void> {
  const { entries } = await read<AuditAnswer>(context, '/v1/audit');
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
