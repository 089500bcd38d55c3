import type { ServerOptions } from 'node:https';

import type { PeerTlsOptions } from '@lagoongap/peering/peeringOptions.js';
import type { TlsSettings } from '@lagoongap/settings/daemonSettings.js';

import { DaemonError } from './daemonError.js';

/** Oldest TLS version that callers may use; instances require a newer one of each other. */
export const MIN_CALLER_TLS_VERSION = 'TLSv1.2';

/** Returns the options of the HTTP listener; with `caFile`, callers must present a certificate. */
export function createServerTls(tls: TlsSettings | undefined): ServerOptions | undefined {
  if (!tls) return undefined;
  const isMutual = tls.caFile !== undefined;
  return { requestCert: isMutual, rejectUnauthorized: isMutual };
}

/** Returns the options of mutual TLS between instances. */
export function createPeerTls(tls: TlsSettings | undefined): PeerTlsOptions | undefined {
  if (!tls) return undefined;
  const { certFile, keyFile, caFile } = tls;
  if (caFile === undefined) throw new DaemonError('[peering.tls] needs caFile');
  return { certFile, keyFile, caFile };
}
