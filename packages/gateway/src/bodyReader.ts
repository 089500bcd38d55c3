import type { IncomingMessage } from 'node:http';

import { refuse } from './httpResponse.js';

/** Maximum size of JSON and TOML bodies of management calls. */
export const MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024;

/** Reads a whole body of at most `maxBytes`; refuses larger ones. */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    refuse(
      'body-too-large',
      `the body has ${declaredBytes} bytes, at most ${maxBytes} are allowed`,
    );
  }
  const chunks: Buffer[] = [];
  let size = 0;
  // Exiting the loop early must not destroy the connection, which still carries the refusal.
  for await (const chunk of req.iterator({ destroyOnReturn: false })) {
    size += (chunk as Buffer).length;
    if (size > maxBytes) refuse('body-too-large', `the body has more than ${maxBytes} bytes`);
    chunks.push(chunk as Buffer);
  }
  if (!req.complete) refuse('invalid-input', 'the body is incomplete');
  return Buffer.concat(chunks);
}

/** Reads a body and parses it as JSON. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req, MAX_CONTROL_BODY_BYTES);
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (err) {
    return refuse('invalid-input', `the body is not JSON: ${(err as Error).message}`);
  }
}
