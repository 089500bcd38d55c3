import { readFile, stat } from 'node:fs/promises';
import { createSecureContext, type SecureContext, type TLSSocket } from 'node:tls';

import { toError } from '@lagoongap/model/toError.js';

import { PeerError } from './peerError.js';
import type { PeerLogger } from './peerLogger.js';

/** Interval at which the files are checked for changes. */
const FILE_CHECK_INTERVAL_MS = 1000;

/** Oldest accepted TLS version. */
const MIN_TLS_VERSION = 'TLSv1.3';

/** Certificate files in PEM format. */
export interface TlsFiles {
  certFile: string;
  keyFile: string;
  /** Certificate authorities, one of which must have signed the certificate of the other side. */
  caFile?: string;
  /** Whether the common name of a certificate must match the instance id; true by default. */
  checkName?: boolean;
}

/** Contents of the certificate files, as options for a TLS server. */
export interface TlsMaterial {
  cert: Buffer;
  key: Buffer;
  ca?: Buffer;
  minVersion: typeof MIN_TLS_VERSION;
}

/** TLS certificate and key of this instance, reloaded when their files change. */
export class TlsCredentials implements Disposable {
  private readonly opts: TlsFiles;
  private readonly logger: PeerLogger;
  private timer: NodeJS.Timeout | undefined;
  private fileVersions = '';
  private current: { material: TlsMaterial; context: SecureContext } | undefined;

  constructor(opts: TlsFiles, logger: PeerLogger) {
    this.opts = opts;
    this.logger = logger;
  }

  get material(): TlsMaterial {
    return this.current!.material;
  }

  get context(): SecureContext {
    return this.current!.context;
  }

  /**
   * Loads the files and starts polling them for changes. Rejects with PeerError if they cannot be
   * loaded.
   *
   * @param onReload - Called after changed files have been loaded.
   */
  async start(onReload: () => void): Promise<void> {
    try {
      this.fileVersions = await this.readFileVersions();
      await this.read();
    } catch (err) {
      throw new PeerError('certificate files cannot be loaded', { cause: toError(err) });
    }
    this.scheduleCheck(onReload);
  }

  /**
   * Checks the common name of the peer certificate against the instance id. Returns a description
   * of the mismatch, or undefined if the name is acceptable.
   */
  checkName(socket: TLSSocket, instanceId: string): string | undefined {
    if (this.opts.checkName === false) return undefined;
    const name = socket.getPeerCertificate().subject?.CN;
    if (name === instanceId) return undefined;
    return `certificate has common name ${name ?? '(none)'}, expected ${instanceId}`;
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private scheduleCheck(onReload: () => void): void {
    this.timer = setTimeout(() => {
      // The files are replaced one by one, so a check may see an incomplete set. Loading is retried
      // at the next check, because the file versions are stored only after a successful load.
      this.check(onReload)
        .catch((err) => {
          const error = toError(err).message;
          this.logger.error('changed certificate files are unusable; the old ones stay', { error });
        })
        .finally(() => {
          if (this.timer) this.scheduleCheck(onReload);
        });
    }, FILE_CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  private async check(onReload: () => void): Promise<void> {
    const fileVersions = await this.readFileVersions();
    if (fileVersions === this.fileVersions) return;
    await this.read();
    this.fileVersions = fileVersions;
    if (!this.timer) return;
    onReload();
    this.logger.info('certificate files reloaded');
  }

  private listFiles(): string[] {
    const { certFile, keyFile, caFile } = this.opts;
    return caFile === undefined ? [certFile, keyFile] : [certFile, keyFile, caFile];
  }

  private async readFileVersions(): Promise<string> {
    const stats = await Promise.all(this.listFiles().map((file) => stat(file)));
    return stats.map(({ ino, size, mtimeMs }) => `${ino}:${size}:${mtimeMs}`).join(' ');
  }

  private async read(): Promise<void> {
    const [cert, key, ca] = await Promise.all(this.listFiles().map((file) => readFile(file)));
    const material = { cert: cert!, key: key!, ca, minVersion: MIN_TLS_VERSION } as const;
    this.current = { material, context: createSecureContext(material) };
  }
}
