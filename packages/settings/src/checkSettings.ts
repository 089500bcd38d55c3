import { accessSync, constants, statSync } from 'node:fs';
import { BlockList, isIPv6 } from 'node:net';

import type { DeepPartial } from '@lagoongap/model/deepPartial.js';
import type { TomlPath } from '@lagoongap/model/tomlLines.js';

import type { DaemonSettings, PeerSettings, TlsSettings } from './daemonSettings.js';
import type { SettingsFaultList } from './settingsFaultList.js';

/** Largest ratio of two clock rates; validity must end before an election even then. */
const MAX_CLOCK_RATIO = 1.01;

/** Number of consecutive renewal messages that may be lost before a lease expires. */
const RENEWALS_PER_LEASE = 3;

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

const unspecified = new BlockList();
unspecified.addAddress('0.0.0.0', 'ipv4');
unspecified.addAddress('::', 'ipv6');

function isListed(list: BlockList, host: string): boolean {
  return list.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}

function checkFile(list: SettingsFaultList, path: TomlPath, file: string): void {
  try {
    accessSync(file, constants.R_OK);
    if (!statSync(file).isFile()) list.add(path, `expected a file, but ${file} is not a file`);
  } catch (err) {
    list.add(path, `expected a readable file, ${file}: ${(err as NodeJS.ErrnoException).code}`);
  }
}

/** Settings in which the parts with already reported faults are missing. */
type IncompleteSettings = DeepPartial<DaemonSettings>;

type IncompleteRoles = (string | undefined)[];

type IncompletePeers = (DeepPartial<PeerSettings> | undefined)[];

function checkTls(list: SettingsFaultList, path: TomlPath, tls?: DeepPartial<TlsSettings>): void {
  for (const key of ['certFile', 'keyFile', 'caFile'] as const) {
    const file = tls?.[key];
    if (file !== undefined) checkFile(list, [...path, key], file);
  }
}

function checkListener(
  list: SettingsFaultList,
  section: 'http' | 'peering',
  listener: IncompleteSettings['http'] | IncompleteSettings['peering'],
): void {
  checkTls(list, [section, 'tls'], listener?.tls);
  if (!listener?.host || listener.tls || listener.allowPlaintext) return;
  if (isListed(loopback, listener.host)) return;
  const message = `${listener.host} is not a loopback address: expected [${section}.tls]`;
  list.add([section, 'host'], `${message}, or allowPlaintext = true on a trusted network`);
}

function checkUniquePeers(list: SettingsFaultList, peers: IncompletePeers): void {
  const ids = new Set<string>();
  const addresses = new Set<string>();
  peers.forEach((peer, index) => {
    const path = ['peering', 'peers', index];
    if (peer?.id !== undefined) {
      if (ids.has(peer.id)) list.add([...path, 'id'], `expected each id once, found "${peer.id}"`);
      ids.add(peer.id);
    }
    if (peer?.host !== undefined && peer.port !== undefined) {
      const address = `${peer.host} port ${peer.port}`;
      const message = `expected each address once, found ${address}`;
      if (addresses.has(address)) list.add([...path, 'port'], message);
      addresses.add(address);
    }
  });
}

/** Returns a copy of a list of roles, or `undefined` if it is missing or has missing entries. */
function copyCompleteRoles(roles: IncompleteRoles | undefined): string[] | undefined {
  const present = roles?.filter((role) => role !== undefined);
  return present?.length === roles?.length ? present : undefined;
}

/** Checks that the peer entry of this instance matches its own sections; peers connect by it. */
function checkOwnPeer(list: SettingsFaultList, settings: IncompleteSettings): void {
  const { instance = {}, peering = {} } = settings;
  const { peers = [] } = peering;
  if (instance.id === undefined) return;
  const index = peers.findIndex((peer) => peer?.id === instance.id);
  const own = peers[index];
  if (!own) {
    const isComplete = peers.length > 0 && peers.every((peer) => peer?.id !== undefined);
    const message = `expected an entry for this instance, "${instance.id}"`;
    if (isComplete) list.add(['peering', 'peers'], message);
    return;
  }
  const expectEqual = (key: string, found: unknown, source: string, expected: unknown): void => {
    if (found === undefined || expected === undefined || found === expected) return;
    list.add(['peering', 'peers', index, key], `expected ${source} ${expected}, found ${found}`);
  };
  const sortRoles = (roles?: IncompleteRoles): string | undefined =>
    copyCompleteRoles(roles)?.sort().join();
  expectEqual('port', own.port, 'peering.port', peering.port);
  if (peering.host !== undefined && !isListed(unspecified, peering.host)) {
    expectEqual('host', own.host, 'peering.host', peering.host);
  }
  expectEqual('dataCentre', own.dataCentre, 'instance.dataCentre', instance.dataCentre);
  expectEqual('roles', sortRoles(own.roles), 'instance.roles', sortRoles(instance.roles));
}

function checkRoles(
  list: SettingsFaultList,
  settings: IncompleteSettings,
  hasStorage: boolean,
): void {
  const roles = copyCompleteRoles(settings.instance?.roles);
  if (roles && roles.includes('replica') && !hasStorage) {
    list.add(['instance', 'roles'], 'role "replica" needs [storage] with a dataFolder');
  }
  if (roles && !roles.includes('replica') && hasStorage) {
    list.add(['storage'], 'expected role "replica" in instance.roles because [storage] is set');
  }
  const peers = settings.peering?.peers ?? [];
  const isComplete = peers.length > 0 && peers.every((peer) => copyCompleteRoles(peer?.roles));
  if (isComplete && !peers.some((peer) => peer?.roles?.includes('replica'))) {
    list.add(['peering', 'peers'], 'expected at least one peer of role "replica"');
  }
}

/** Rule that a duration must satisfy relative to another one. */
interface DurationRule {
  section: 'timing' | 'routing';
  key: string;
  otherKey: string;
  expected: string;
  holds: (value: number, other: number) => boolean;
}

function createRenewalRule(key: string, otherKey: string): DurationRule {
  const holds = (value: number, other: number): boolean => value * RENEWALS_PER_LEASE <= other;
  return { section: 'timing', key, otherKey, expected: 'at most a third of', holds };
}

const DURATION_RULES: readonly DurationRule[] = [
  createRenewalRule('heartbeatMs', 'electionMinMs'),
  createRenewalRule('gatewayPollMs', 'gatewayValidityMs'),
  createRenewalRule('endpointHeartbeatMs', 'endpointLeaseMs'),
  {
    section: 'timing',
    key: 'leaderValidityMs',
    otherKey: 'electionMinMs',
    expected: 'more than 1% below',
    holds: (value, other) => value * MAX_CLOCK_RATIO < other,
  },
  {
    section: 'timing',
    key: 'heartbeatMs',
    otherKey: 'leaderValidityMs',
    expected: 'less than',
    holds: (value, other) => value < other,
  },
  {
    section: 'timing',
    key: 'electionMaxMs',
    otherKey: 'electionMinMs',
    expected: 'more than',
    holds: (value, other) => value > other,
  },
  {
    section: 'routing',
    key: 'ejectionMaxMs',
    otherKey: 'ejectionBaseMs',
    expected: 'at least',
    holds: (value, other) => value >= other,
  },
];

function checkDurations(list: SettingsFaultList, settings: IncompleteSettings): void {
  for (const { section, key, otherKey, expected, holds } of DURATION_RULES) {
    const values = (settings[section] ?? {}) as Record<string, number | undefined>;
    const value = values[key];
    const other = values[otherKey];
    if (value !== undefined && other !== undefined && !holds(value, other)) {
      list.add([section, key], `expected ${expected} ${otherKey} (${other}), found ${value}`);
    }
  }
}

function checkPorts(list: SettingsFaultList, { http, peering }: IncompleteSettings): void {
  if (http?.port === undefined || http.port !== peering?.port || http.host !== peering.host) return;
  list.add(['http', 'port'], `expected a port other than peering.port, found ${http.port}`);
}

function checkDataFolder(list: SettingsFaultList, folder: string | undefined): void {
  if (folder === undefined) return;
  const path = ['storage', 'dataFolder'];
  try {
    // The folder is created at startup if it does not exist.
    const found = statSync(folder, { throwIfNoEntry: false });
    if (found && !found.isDirectory())
      list.add(path, `expected a folder, but ${folder} is not a folder`);
  } catch (err) {
    list.add(path, `expected a folder, ${folder}: ${(err as NodeJS.ErrnoException).code}`);
  }
}

/**
 * Reports settings that contradict each other or refer to missing files. Parts that are missing
 * because of other faults are not checked.
 *
 * @param hasStorage - Whether the document has a storage section, even if it is faulty.
 */
export function checkSettings(
  list: SettingsFaultList,
  settings: IncompleteSettings,
  hasStorage: boolean,
): void {
  checkListener(list, 'http', settings.http);
  checkListener(list, 'peering', settings.peering);
  if (settings.peering?.tls && settings.peering.tls.caFile === undefined) {
    list.add(
      ['peering', 'tls'],
      'expected caFile, which instances need to authenticate each other',
    );
  }
  checkPorts(list, settings);
  checkDataFolder(list, settings.storage?.dataFolder);
  checkUniquePeers(list, settings.peering?.peers ?? []);
  checkOwnPeer(list, settings);
  checkRoles(list, settings, hasStorage);
  checkDurations(list, settings);
}
