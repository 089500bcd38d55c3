import { stringify } from 'smol-toml';

import type { DaemonRole, DaemonSettings, PeerSettings } from './daemonSettings.js';

/** Settings of which each section and key may be left out. */
export type PartialSettings = {
  [Section in keyof DaemonSettings]?: DaemonSettings[Section] extends unknown[] | undefined
    ? DaemonSettings[Section]
    : Partial<NonNullable<DaemonSettings[Section]>>;
};

/** Where the instances of an example cell listen. */
export interface ExampleCellOptions {
  /** Instances in all; data centres take turns. */
  instances?: number;
  /** Instances with a disk, from the first one on. */
  replicas?: number;
  dataCentres?: string[];
  host?: string;
  /** HTTP port of the first instance; each further one takes the next. */
  firstHttpPort?: number;
  /** Peering port of the first instance; each further one takes the next. */
  firstPeeringPort?: number;
  /** Folder in which each replica has its data folder. */
  dataFolder?: string;
  bootstrapOperatorKeyHashes?: string[];
}

/** Writes settings as TOML; sections and keys that are `undefined` are left out. */
export function renderSettings(settings: PartialSettings): string {
  // Plain keys must stand before the first table in TOML, which `stringify` takes care of.
  // A round trip through JSON removes properties that are undefined.
  return `${stringify(JSON.parse(JSON.stringify(settings)))}\n`;
}

function exampleRoles(index: number, replicas: number): DaemonRole[] {
  return index < replicas ? ['gateway', 'replica'] : ['gateway'];
}

/**
 * Returns settings for each instance of an example cell on one machine: nine instances in
 * three data centres, of which three are replicas, unless told otherwise.
 */
export function createExampleCell(opts: ExampleCellOptions = {}): PartialSettings[] {
  const { instances = 9, replicas = 3, host = '127.0.0.1', dataFolder = 'data' } = opts;
  const { firstHttpPort = 7100, firstPeeringPort = 7200 } = opts;
  const dataCentres = opts.dataCentres ?? ['dc-1', 'dc-2', 'dc-3'];
  const peers: PeerSettings[] = Array.from({ length: instances }, (_, index) => ({
    id: `instance-${index + 1}`,
    host,
    port: firstPeeringPort + index,
    dataCentre: dataCentres[index % dataCentres.length]!,
    roles: exampleRoles(index, replicas),
  }));
  return peers.map((peer, index) => ({
    bootstrapOperatorKeyHashes: opts.bootstrapOperatorKeyHashes ?? [],
    instance: { id: peer.id, dataCentre: peer.dataCentre, roles: peer.roles },
    http: { host, port: firstHttpPort + index },
    peering: { host, port: peer.port, peers },
    ...(index < replicas && {
      storage: { dataFolder: `${dataFolder}/${peer.id}`, bootstrap: true },
    }),
  }));
}
