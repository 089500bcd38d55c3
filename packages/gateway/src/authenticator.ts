import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import type { AccessKey, ClusterConfig, KeyRole } from '@lagoongap/model/clusterConfig.js';
import { hashKey } from '@lagoongap/release-notes/accessKeys.js';

import { readHeader, refuse } from './httpResponse.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Key id under which the keys from the settings appear in the audit trail. */
export const BOOTSTRAP_KEY_ID = 'bootstrap';

/** Options of {@link Authenticator}. */
export interface AuthenticatorOptions {
  /** SHA-256 hashes of operator keys that are valid until a release note grants an operator key. */
  bootstrapOperatorKeyHashes: string[];
}

/** Authenticates calls against the access keys in force. */
export class Authenticator {
  private readonly opts: AuthenticatorOptions;
  private keysByHash = new Map<string, AccessKey>();

  constructor(opts: AuthenticatorOptions) {
    this.opts = opts;
    this.update(undefined);
  }

  /** Replaces the accepted keys with those of a configuration. */
  update(config: ClusterConfig | undefined): void {
    const keys = Object.values(config?.keys ?? {});
    this.keysByHash = new Map(keys.map((key) => [key.hash, key]));
    if (keys.some((key) => key.role === 'operator')) return;
    for (const hash of this.opts.bootstrapOperatorKeyHashes) {
      this.keysByHash.set(hash, { id: BOOTSTRAP_KEY_ID, hash, role: 'operator' });
    }
  }

  /** Returns the key that a call carries, or undefined without one; refuses unknown keys. */
  authenticate(req: IncomingMessage): AccessKey | undefined {
    const header = readHeader(req, 'authorization');
    if (header === undefined) return undefined;
    const secret = BEARER_PATTERN.exec(header)?.[1];
    if (secret === undefined) {
      refuse('unauthenticated', 'the authorization header is not of the form "Bearer <key>"');
    }
    const hash = hashKey(secret);
    const key = this.keysByHash.get(hash);
    if (!key || !timingSafeEqual(Buffer.from(key.hash), Buffer.from(hash))) {
      refuse('unauthenticated', 'the key is unknown or has been withdrawn');
    }
    return key;
  }

  /** Returns the key of a call; refuses the call unless the key has one of the given roles. */
  requireRole(req: IncomingMessage, roles: KeyRole[]): AccessKey {
    const key = this.authenticate(req);
    if (!key) refuse('unauthenticated', 'this call requires a key');
    if (!roles.includes(key.role)) {
      refuse('forbidden', `this call requires a key with the role ${roles.join(' or ')}`);
    }
    return key;
  }
}
