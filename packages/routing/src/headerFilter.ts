/** Header fields that concern one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Fields of a caller's request that are meant only for the gateway. */
const GATEWAY_ONLY = new Set(['authorization', 'expect', 'host']);

/** Prefix of fields that only the gateway may set. */
const RESERVED_PREFIX = 'lagoongap-';

type HeaderValue = string | string[] | undefined;

function listConnectionOptions(headers: Record<string, HeaderValue>): Set<string> {
  const values = Object.entries(headers)
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value ?? []);
  return new Set(values.flatMap((value) => value.split(',')).map((v) => v.trim().toLowerCase()));
}

function filterHopByHop<T extends HeaderValue>(headers: Record<string, T>): [string, T][] {
  const options = listConnectionOptions(headers);
  return Object.entries(headers)
    .map(([name, value]): [string, T] => [name.toLowerCase(), value])
    .filter(([name, value]) => value !== undefined && !HOP_BY_HOP.has(name) && !options.has(name));
}

/**
 * Returns the caller's headers that are forwarded to an endpoint, with lower-case names: without
 * hop-by-hop fields, the caller's key and fields that only the gateway may set.
 */
export function filterRequestHeaders(headers: Record<string, string>): Record<string, string> {
  const kept = filterHopByHop(headers).filter(
    ([name]) => !GATEWAY_ONLY.has(name) && !name.startsWith(RESERVED_PREFIX),
  );
  return Object.fromEntries(kept);
}

/** Returns an endpoint's headers without hop-by-hop fields, with lower-case names. */
export function filterResponseHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  return Object.fromEntries(filterHopByHop(headers)) as Record<string, string | string[]>;
}
