import { stringify } from 'smol-toml';

import type { DaemonRole, DaemonSettings, PeerSettings } from './daemonSettings.js';

/** Settings in which each section and key is optional. */
export type PartialSettings = {
  [Section in keyof DaemonSettings]?: DaemonSettings[Section] extends unknown[] | undefined
    ? DaemonSettings[Section]
    : Partial<NonNullable<DaemonSettings[Section]>>;
};

/** Options of {@link createExampleCell}. */
export interface ExampleCellOptions {
  /** Total number of instances, assigned to the data centres in rotation. */
  instances?: number;
  /** Number of instances with a disk; the first instances have one. */
  replicas?: number;
  dataCentres?: string[];
  host?: string;
  /** HTTP port of the first instance; further instances use the following ports. */
  firstHttpPort?: number;
  /** Peering port of the first instance; further instances use the following ports. */
  firstPeeringPort?: number;
  /** Parent folder of the data folders of the replicas. */
  dataFolder?: string;
  bootstrapOperatorKeyHashes?: string[];
}

/** Renders settings as TOML without the sections and keys that are `undefined`. */
export function renderSettings(settings: PartialSettings): string {
  // TOML requires top-level keys before the first table; `stringify` orders them accordingly.
  // The round trip through JSON removes undefined properties.
  return `${stringify(JSON.parse(JSON.stringify(settings)))}\n`;
}

function exampleRoles(index: number, replicas: number): DaemonRole[] {
  return index < replicas ? ['gateway', 'replica'] : ['gateway'];
}

/**
 * Returns the settings of each instance of an example cell on one machine. By default the cell has
 * nine instances in three data centres, three of them replicas.
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
