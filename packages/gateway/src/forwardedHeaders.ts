import type { IncomingMessage } from 'node:http';

/** Headers that concern the caller's connection or the system, not the endpoint. */
const WITHHELD_HEADERS = new Set([
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

/** Returns the caller's headers that an endpoint gets; the key is never among them. */
export function listForwardedHeaders(req: IncomingMessage): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || WITHHELD_HEADERS.has(name)) continue;
    if (name.startsWith('lagoongap-')) continue;
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}
