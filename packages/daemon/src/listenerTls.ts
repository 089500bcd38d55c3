import type { ServerOptions } from 'node:https';

import type { PeerTlsOptions } from '@lagoongap/peering/peeringOptions.js';
import type { TlsSettings } from '@lagoongap/settings/daemonSettings.js';

import { DaemonError } from './daemonError.js';

/** Minimum TLS version for callers; connections between instances require a newer one. */
export const MIN_CALLER_TLS_VERSION = 'TLSv1.2';

/** Returns the options of the HTTP listener; `caFile` makes it require client certificates. */
export function createServerTls(tls: TlsSettings | undefined): ServerOptions | undefined {
  if (!tls) return undefined;
  const isMutual = tls.caFile !== undefined;
  return { requestCert: isMutual, rejectUnauthorized: isMutual };
}

/** Returns the options for mutual TLS between instances. */
export function createPeerTls(tls: TlsSettings | undefined): PeerTlsOptions | undefined {
  if (!tls) return undefined;
  const { certFile, keyFile, caFile } = tls;
  if (caFile === undefined) throw new DaemonError('[peering.tls] needs caFile');
  return { certFile, keyFile, caFile };
}
