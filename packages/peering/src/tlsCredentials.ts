import { readFile, stat } from 'node:fs/promises';
import { createSecureContext, type SecureContext, type TLSSocket } from 'node:tls';

import { toError } from '@lagoongap/model/toError.js';

import { PeerError } from './peerError.js';
import type { PeerLogger } from './peerLogger.js';

/** Interval at which the files are looked at. */
const CHECK_INTERVAL_MS = 1000;

/** Oldest accepted TLS version. */
const MIN_TLS_VERSION = 'TLSv1.3';

/** Certificate files in PEM format. */
export interface TlsFiles {
  certFile: string;
  keyFile: string;
  /** Authorities that the other side must be signed by. */
  caFile?: string;
  /** Whether the common name of a certificate must be the instance id; true by default. */
  checkName?: boolean;
}

/** PEM texts of one instance. */
export interface TlsMaterial {
  cert: Buffer;
  key: Buffer;
  ca?: Buffer;
  minVersion: typeof MIN_TLS_VERSION;
}

/** Certificate files of this instance, read again when they change. */
export class TlsCredentials implements Disposable {
  private readonly opts: TlsFiles;
  private readonly logger: PeerLogger;
  private timer: NodeJS.Timeout | undefined;
  private fingerprint = '';
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
   * Reads the files and starts to watch them; rejects with PeerError if they are unusable.
   *
   * @param onReload - Called after changed files have been read.
   */
  async start(onReload: () => void): Promise<void> {
    try {
      this.fingerprint = await this.readFingerprint();
      await this.read();
    } catch (err) {
      throw new PeerError('certificate files are unusable', { cause: toError(err) });
    }
    this.scheduleCheck(onReload);
  }

  /** Tells what is wrong with the name in the certificate of `socket`, if anything. */
  checkName(socket: TLSSocket, instanceId: string): string | undefined {
    if (this.opts.checkName === false) return undefined;
    const name = socket.getPeerCertificate().subject?.CN;
    if (name === instanceId) return undefined;
    return `certificate is for ${name ?? 'nobody'}, not for ${instanceId}`;
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private scheduleCheck(onReload: () => void): void {
    this.timer = setTimeout(() => {
      // The files are replaced one by one; a half-finished replacement is tried again.
      this.check(onReload)
        .catch((err) => {
          const error = toError(err).message;
          this.logger.error('changed certificate files are unusable; the old ones stay', { error });
        })
        .finally(() => {
          if (this.timer) this.scheduleCheck(onReload);
        });
    }, CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  private async check(onReload: () => void): Promise<void> {
    const fingerprint = await this.readFingerprint();
    if (fingerprint === this.fingerprint) return;
    await this.read();
    this.fingerprint = fingerprint;
    if (!this.timer) return;
    onReload();
    this.logger.info('certificate files have been read again');
  }

  private files(): string[] {
    const { certFile, keyFile, caFile } = this.opts;
    return caFile === undefined ? [certFile, keyFile] : [certFile, keyFile, caFile];
  }

  private async readFingerprint(): Promise<string> {
    const stats = await Promise.all(this.files().map((file) => stat(file)));
    return stats.map(({ ino, size, mtimeMs }) => `${ino}:${size}:${mtimeMs}`).join(' ');
  }

  private async read(): Promise<void> {
    const [cert, key, ca] = await Promise.all(this.files().map((file) => readFile(file)));
    const material = { cert: cert!, key: key!, ca, minVersion: MIN_TLS_VERSION } as const;
    this.current = { material, context: createSecureContext(material) };
  }
}
