import { accessSync, constants, statSync } from 'node:fs';
import { BlockList, isIPv6 } from 'node:net';

import type { TomlPath } from '@lagoongap/model/tomlLines.js';

import type { DaemonSettings, PeerSettings, TlsSettings } from './daemonSettings.js';
import type { SettingsFaultList } from './settingsFaultList.js';

/** Largest ratio of two clock rates; validity must end before an election at any rate. */
const MAX_CLOCK_RATIO = 1.01;

/** Messages that may be lost in a row before a grant expires. */
const RENEWALS_PER_GRANT = 3;

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
    if (!statSync(file).isFile()) list.add(path, `expected a file, ${file} is none`);
  } catch (err) {
    list.add(path, `expected a readable file, ${file}: ${(err as NodeJS.ErrnoException).code}`);
  }
}

function checkTls(list: SettingsFaultList, path: TomlPath, tls: TlsSettings | undefined): void {
  if (!tls) return;
  checkFile(list, [...path, 'certFile'], tls.certFile);
  checkFile(list, [...path, 'keyFile'], tls.keyFile);
  if (tls.caFile !== undefined) checkFile(list, [...path, 'caFile'], tls.caFile);
}

function checkListener(
  list: SettingsFaultList,
  section: 'http' | 'peering',
  listener: DaemonSettings['http'] | DaemonSettings['peering'],
): void {
  checkTls(list, [section, 'tls'], listener.tls);
  if (listener.tls || listener.allowPlaintext || isListed(loopback, listener.host)) return;
  const message = `${listener.host} is not a loopback address: expected [${section}.tls]`;
  list.add([section, 'host'], `${message}, or allowPlaintext = true on a trusted network`);
}

function checkUniquePeers(list: SettingsFaultList, peers: PeerSettings[]): void {
  const ids = new Set<string>();
  const addresses = new Set<string>();
  peers.forEach((peer, index) => {
    const path = ['peering', 'peers', index];
    const address = `${peer.host} port ${peer.port}`;
    if (ids.has(peer.id)) list.add([...path, 'id'], `expected each id once, found "${peer.id}"`);
    if (addresses.has(address)) {
      list.add([...path, 'port'], `expected each address once, found ${address}`);
    }
    ids.add(peer.id);
    addresses.add(address);
  });
}

/** The entry of this instance must agree with its own sections, or peers would not find it. */
function checkOwnPeer(list: SettingsFaultList, settings: DaemonSettings): void {
  const { instance, peering } = settings;
  const index = peering.peers.findIndex((peer) => peer.id === instance.id);
  const own = peering.peers[index];
  if (!own) {
    list.add(['peering', 'peers'], `expected an entry for this instance, "${instance.id}"`);
    return;
  }
  const path = ['peering', 'peers', index];
  if (own.port !== peering.port) {
    list.add([...path, 'port'], `expected peering.port ${peering.port}, found ${own.port}`);
  }
  if (own.host !== peering.host && !isListed(unspecified, peering.host)) {
    list.add([...path, 'host'], `expected peering.host ${peering.host}, found ${own.host}`);
  }
  if (own.dataCentre !== instance.dataCentre) {
    const message = `expected instance.dataCentre "${instance.dataCentre}"`;
    list.add([...path, 'dataCentre'], `${message}, found "${own.dataCentre}"`);
  }
  if ([...own.roles].sort().join() !== [...instance.roles].sort().join()) {
    const message = `expected instance.roles ${JSON.stringify(instance.roles)}`;
    list.add([...path, 'roles'], `${message}, found ${JSON.stringify(own.roles)}`);
  }
}

function checkRoles(list: SettingsFaultList, settings: DaemonSettings): void {
  const isReplica = settings.instance.roles.includes('replica');
  if (isReplica && !settings.storage) {
    list.add(['instance', 'roles'], 'role "replica" needs [storage] with a dataFolder');
  }
  if (!isReplica && settings.storage) {
    list.add(['storage'], 'expected role "replica" in instance.roles where storage is set');
  }
  if (!settings.peering.peers.some((peer) => peer.roles.includes('replica'))) {
    list.add(['peering', 'peers'], 'expected at least one peer of role "replica"');
  }
}

function checkTiming(list: SettingsFaultList, { timing, routing }: DaemonSettings): void {
  const expect = (holds: boolean, section: string, key: string, message: string): void => {
    if (!holds) list.add([section, key], message);
  };
  const expectThird = (part: keyof typeof timing, whole: keyof typeof timing): void => {
    const message = `expected at most a third of ${whole} (${timing[whole]}), found ${timing[part]}`;
    expect(timing[part] * RENEWALS_PER_GRANT <= timing[whole], 'timing', part, message);
  };
  expectThird('heartbeatMs', 'electionMinMs');
  expectThird('gatewayPollMs', 'gatewayValidityMs');
  expectThird('endpointHeartbeatMs', 'endpointLeaseMs');
  const { leaderValidityMs, electionMinMs, electionMaxMs } = timing;
  expect(
    leaderValidityMs * MAX_CLOCK_RATIO < electionMinMs,
    'timing',
    'leaderValidityMs',
    `expected more than 1% below electionMinMs (${electionMinMs}), found ${leaderValidityMs}`,
  );
  expect(
    timing.heartbeatMs < leaderValidityMs,
    'timing',
    'heartbeatMs',
    `expected below leaderValidityMs (${leaderValidityMs}), found ${timing.heartbeatMs}`,
  );
  expect(
    electionMinMs < electionMaxMs,
    'timing',
    'electionMaxMs',
    `expected above electionMinMs (${electionMinMs}), found ${electionMaxMs}`,
  );
  expect(
    routing.ejectionBaseMs <= routing.ejectionMaxMs,
    'routing',
    'ejectionMaxMs',
    `expected at least ejectionBaseMs (${routing.ejectionBaseMs}), found ${routing.ejectionMaxMs}`,
  );
}

/** Reports settings of the right shape that contradict each other or name missing files. */
export function checkSettings(list: SettingsFaultList, settings: DaemonSettings): void {
  checkListener(list, 'http', settings.http);
  checkListener(list, 'peering', settings.peering);
  if (settings.peering.tls && settings.peering.tls.caFile === undefined) {
    list.add(['peering', 'tls'], 'expected caFile, by which instances authenticate each other');
  }
  checkUniquePeers(list, settings.peering.peers);
  checkOwnPeer(list, settings);
  checkRoles(list, settings);
  checkTiming(list, settings);
}
