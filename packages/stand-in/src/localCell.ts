import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';

import { createKey, type CreatedKey } from '@lagoongap/release-notes/accessKeys.js';
import type {
  DaemonSettings,
  PeerSettings,
  TlsSettings,
} from '@lagoongap/settings/daemonSettings.js';
import { renderSettings, type PartialSettings } from '@lagoongap/settings/exampleSettings.js';
import { Agent, request } from 'undici';

import { findFreePorts } from './freePorts.js';
import { ProcessHandle } from './processHandle.js';
import { StandInError } from './standInError.js';

/** Options of {@link LocalCell}. */
export interface LocalCellOptions {
  /** Number of daemons. */
  instances: number;
  /** Number of daemons with a data folder; these are the first ones. */
  replicas: number;
  timing?: Partial<DaemonSettings['timing']>;
  scheduling?: Partial<DaemonSettings['scheduling']>;
  routing?: Partial<DaemonSettings['routing']>;
  log?: Partial<DaemonSettings['log']>;
  /** Certificate files of each instance, and the signing CA certificate in PEM format. */
  tls?: { files: (id: string) => TlsSettings; ca: string };
  /** Overrides the peering address under which `viewedFrom` reaches `peer`, such as a relay. */
  mapPeer?: (peer: PeerSettings, viewedFrom: string) => PeerSettings;
}

/** Options of {@link LocalCell.startEndpoint}. */
export interface EndpointOptions {
  id: string;
  key: string;
  kind?: 'worker' | 'runner';
  works: string[];
  slots?: number;
  rack?: string;
  dataCentre?: string;
  behaviour?: object;
}

/** Response to a call. */
export interface CallResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: any;
}

/** Options of {@link LocalCell.call}. */
export interface CallOptions {
  method?: string;
  key?: string;
  body?: string | object;
  headers?: Record<string, string>;
}

const START_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
const require = createRequire(import.meta.url);

function resolveScript(name: string): string {
  if (name === 'daemon') {
    const folder = dirname(require.resolve('@lagoongap/daemon/daemon.js'));
    return join(folder, '..', 'bin', 'lagoongapd.js');
  }
  return join(import.meta.dirname, 'runStandIn.js');
}

/** A cell of daemons and stand-in endpoints that run as local processes on loopback. */
export class LocalCell implements AsyncDisposable {
  readonly operatorKey: CreatedKey = createKey();
  readonly folder = mkdtempSync(join(tmpdir(), 'lagoongap-'));
  readonly daemons = new Map<string, ProcessHandle>();
  readonly endpoints = new Map<string, ProcessHandle>();
  private readonly opts: LocalCellOptions;
  private readonly agent: Agent | undefined;
  private readonly httpPorts = new Map<string, number>();
  private readonly settingsFiles = new Map<string, string>();

  constructor(opts: LocalCellOptions) {
    this.opts = opts;
    if (opts.tls) this.agent = new Agent({ connect: { ca: opts.tls.ca } });
  }

  /** Ids of all instances. */
  get instanceIds(): string[] {
    return [...this.httpPorts.keys()];
  }

  /** Starts all daemons and waits until each of them is ready. */
  async start(): Promise<void> {
    const { instances, replicas } = this.opts;
    const ports = await findFreePorts(instances * 2);
    const peers: PeerSettings[] = Array.from({ length: instances }, (_, i) => ({
      id: `instance-${i + 1}`,
      host: '127.0.0.1',
      port: ports[instances + i]!,
      dataCentre: `dc-${(i % 3) + 1}`,
      roles: i < replicas ? ['gateway', 'replica'] : ['gateway'],
    }));
    peers.forEach((peer, i) => {
      this.httpPorts.set(peer.id, ports[i]!);
      this.writeSettings(peer, peers, ports[i]!);
    });
    for (const peer of peers) this.startDaemon(peer.id);
    await Promise.all(this.instanceIds.map((id) => this.waitUntilReady(id)));
  }

  /** Starts or restarts the process of an instance. */
  startDaemon(id: string): void {
    const handle = new ProcessHandle({
      name: id,
      script: resolveScript('daemon'),
      args: ['--config', this.settingsFiles.get(id)!],
      logFile: join(this.folder, `${id}.log`),
    });
    this.daemons.set(id, handle);
  }

  /** Deletes the data folder of an instance that is not running. */
  deleteDataFolder(id: string): void {
    rmSync(join(this.folder, id), { recursive: true, force: true });
  }

  /** Returns the base URL of an instance. */
  url(id: string): string {
    const scheme = this.opts.tls ? 'https' : 'http';
    return `${scheme}://127.0.0.1:${this.httpPorts.get(id)}`;
  }

  /** Starts a stand-in endpoint and waits until a gateway has accepted it. */
  async startEndpoint(opts: EndpointOptions): Promise<ProcessHandle> {
    const isRunner = opts.kind !== 'worker';
    const handle = new ProcessHandle({
      name: opts.id,
      script: resolveScript('stand-in'),
      args: [
        `--id=${opts.id}`,
        `--kind=${opts.kind ?? 'runner'}`,
        ...this.instanceIds.map((id) => `--gateway=${this.url(id)}`),
        `--work=${opts.works.join(',')}`,
        `--slots=${opts.slots ?? (isRunner ? 8 : 0)}`,
        `--rack=${opts.rack ?? 'rack-1'}`,
        `--data-centre=${opts.dataCentre ?? 'dc-1'}`,
        `--behaviour=${JSON.stringify(opts.behaviour ?? {})}`,
      ],
      env: { LAGOONGAP_ENDPOINT_KEY: opts.key },
      logFile: join(this.folder, `${opts.id}.log`),
    });
    this.endpoints.set(opts.id, handle);
    await handle.waitForRecord((record) => record.type === 'ready', START_TIMEOUT_MS);
    return handle;
  }

  /** Calls the HTTP API of an instance. */
  async call(id: string, path: string, opts: CallOptions = {}): Promise<CallResponse> {
    const { method = 'GET', key, body, headers = {} } = opts;
    const res = await request(`${this.url(id)}${path}`, {
      method: method as 'GET',
      headers: {
        ...(key !== undefined && { authorization: `Bearer ${key}` }),
        ...(typeof body === 'object' && { 'content-type': 'application/json' }),
        ...headers,
      },
      body: typeof body === 'object' ? JSON.stringify(body) : body,
      ...(this.agent && { dispatcher: this.agent }),
    });
    const text = await res.body.text();
    const isJson = String(res.headers['content-type']).startsWith('application/json');
    return {
      status: res.statusCode,
      headers: res.headers,
      body: isJson && text !== '' ? JSON.parse(text) : text,
    };
  }

  /** Applies a release note and waits until it is in force on every instance. */
  async applyNote(id: string, text: string, key = this.operatorKey.secret): Promise<CallResponse> {
    const res = await this.call(id, '/v1/notes', { method: 'POST', body: text, key });
    if (res.status !== 200) return res;
    await this.waitFor(`release note ${res.body.number} in force`, async () => {
      const status = await this.call(id, `/v1/notes/${res.body.number}`, { key });
      return status.body.inForceEverywhere === true;
    });
    return res;
  }

  /** Polls `check` until it returns true; an error counts as false. */
  async waitFor(
    awaited: string,
    check: () => Promise<boolean>,
    timeoutMs = START_TIMEOUT_MS,
  ): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      const isTrue = await check().catch(() => false);
      if (isTrue) return;
      if (performance.now() > endMs) {
        throw new StandInError(
          `timed out after ${timeoutMs} ms waiting for ${awaited}; logs are in ${this.folder}`,
        );
      }
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  }

  /** Waits until the instance reports that it is ready. */
  async waitUntilReady(id: string): Promise<void> {
    await this.waitFor(`instance ${id} to become ready`, async () => {
      if (this.daemons.get(id)?.hasExited) {
        throw new StandInError(`instance ${id} exited; see ${this.folder}/${id}.log`);
      }
      return (await this.call(id, '/readyz')).status === 200;
    });
  }

  /** Returns the id of the leader, as reported by one of the running instances. */
  async findLeader(): Promise<string> {
    let leader = '';
    await this.waitFor('a leader', async () => {
      for (const [id, handle] of this.daemons) {
        if (handle.hasExited) continue;
        const { status, body } = await this.call(id, '/v1/status', {
          key: this.operatorKey.secret,
        });
        if (status !== 200) continue;
        leader = body.leader;
        return true;
      }
      return false;
    });
    return leader;
  }

  /** Returns the starts and ends of attempts that the endpoints have recorded. */
  readHistory(): Record<string, unknown>[] {
    return [...this.endpoints.values()].flatMap((endpoint) =>
      endpoint.records.filter(({ type }) => type === 'start' || type === 'end'),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const handles = [...this.endpoints.values(), ...this.daemons.values()];
    await Promise.all(handles.map((handle) => handle[Symbol.asyncDispose]()));
    await this.agent?.destroy();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private writeSettings(peer: PeerSettings, peers: PeerSettings[], httpPort: number): void {
    const { mapPeer, timing, scheduling, routing, log, tls } = this.opts;
    const files = tls?.files(peer.id);
    const settings: PartialSettings = {
      bootstrapOperatorKeyHashes: [this.operatorKey.hash],
      instance: { id: peer.id, dataCentre: peer.dataCentre, roles: peer.roles },
      http: {
        host: peer.host,
        port: httpPort,
        ...(files && { tls: { certFile: files.certFile, keyFile: files.keyFile } }),
      },
      peering: {
        host: peer.host,
        port: peer.port,
        ...(files && { tls: files }),
        peers: peers.map((other) =>
          mapPeer && other.id !== peer.id ? mapPeer(other, peer.id) : other,
        ),
      },
      ...(peer.roles.includes('replica') && {
        storage: { dataFolder: join(this.folder, peer.id), bootstrap: true },
      }),
      timing: { drainDelayMs: 1000, ...timing },
      ...(scheduling && { scheduling }),
      ...(routing && { routing }),
      ...(log && { log }),
    };
    mkdirSync(this.folder, { recursive: true });
    const file = join(this.folder, `${peer.id}.toml`);
    writeFileSync(file, renderSettings(settings));
    this.settingsFiles.set(peer.id, file);
  }
}
