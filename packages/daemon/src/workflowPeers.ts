import type { PeerAddress } from '@lagoongap/peering/peeringOptions.js';

/** Prefix of the ids of gateways, which call replicas but are never called. */
const GATEWAY_PREFIX = 'gateway@';

/** Returns the id of the replica instance that listens for peers at an address. */
export function replicaInstanceId(host: string, port: number): string {
  return `${host}:${port}`;
}

/** Returns the id of a gateway instance. */
export function gatewayInstanceId(host: string): string {
  return `${GATEWAY_PREFIX}${host}`;
}

/**
 * Parses the address in an instance id. The ids of replica instances are their addresses, so the
 * membership of the replicated log is enough to reach every member.
 */
export function parseInstanceAddress(id: string): PeerAddress | undefined {
  if (id.startsWith(GATEWAY_PREFIX)) {
    return { id, host: id.slice(GATEWAY_PREFIX.length), port: 0, dial: false };
  }
  const separator = id.lastIndexOf(':');
  const port = Number(id.slice(separator + 1));
  if (separator <= 0 || !Number.isInteger(port) || port <= 0) return undefined;
  return { id, host: id.slice(0, separator), port };
}

/** Peering options for resolving peer addresses and detecting unresponsive connections. */
export const WORKFLOW_PEERING = {
  resolvePeer: parseInstanceAddress,
  pingMs: 300,
  silenceMs: 1000,
};

/**
 * Time after which a call that the leader handles without waiting is repeated at another replica.
 * A successor has been elected by then if the leader failed before the call.
 */
export const TRY_TIMEOUT_MS = 500;
