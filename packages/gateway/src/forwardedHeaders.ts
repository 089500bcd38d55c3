import type { IncomingMessage } from 'node:http';

/** Headers of the caller's connection or for this system, which are not meant for endpoints. */
const NOT_FORWARDED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Returns the caller's headers to forward to an endpoint, never including the access key. */
export function listForwardedHeaders(req: IncomingMessage): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || NOT_FORWARDED_HEADERS.has(name)) continue;
    if (name.startsWith('lagoongap-')) continue;
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}
