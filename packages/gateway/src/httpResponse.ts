import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Refusal, RefusalType, RunState } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { redactSecrets } from '@lagoongap/release-notes/accessKeys.js';

const STATUS_BY_TYPE: Record<RefusalType, number> = {
  'invalid-input': 400,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  duplicate: 409,
  conflict: 409,
  'body-too-large': 413,
  impossible: 422,
  'queue-full': 429,
  'over-limit': 429,
  cancelled: 409,
  'deadline-exceeded': 504,
  'gateway-not-valid': 503,
  'no-leader': 503,
  overloaded: 503,
  'shutting-down': 503,
  'endpoint-failed': 502,
  'answer-lost': 502,
  internal: 500,
};

function sendJsonText(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Sends a response with a JSON body. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  sendJsonText(res, status, `${JSON.stringify(body)}\n`);
}

/** Sends a refusal, or destroys the connection if the response headers have already been sent. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  if (refusal.retryAfterMs !== undefined) {
    res.setHeader('retry-after', Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)));
  }
  if (refusal.requestId !== undefined) res.setHeader('lagoongap-request', refusal.requestId);
  // A refusal quotes the invalid input, which may be a secret in the wrong field.
  const text = redactSecrets(JSON.stringify({ error: refusal }));
  sendJsonText(res, STATUS_BY_TYPE[refusal.type] ?? 500, `${text}\n`);
}

/** Returns the refusal of a `RefusalError`, or an `internal` refusal without details. */
export function toRefusal(err: unknown, runState: RunState): Refusal {
  if (err instanceof RefusalError) return err.refusal;
  return { type: 'internal', runState, message: 'internal error; see the log of the instance' };
}

/** Throws a refusal with the run state `not-run`. */
export function refuse(type: RefusalType, message: string, details?: unknown): never {
  throw new RefusalError({ type, runState: 'not-run', message, details });
}

/** Returns a header; refuses the call if it occurs more than once. */
export function readHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  if (Array.isArray(value)) refuse('invalid-input', `header ${name} is given more than once`);
  return value;
}
