import type { IncomingMessage } from 'node:http';

import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import { readHeader, refuse } from './httpResponse.js';

/** Deadline of a request without a deadline header. */
const DEFAULT_DEADLINE_MS = 60_000;
const MAX_DEADLINE_MS = 60 * 60 * 1000;
const MAX_SLOTS = 1024;
const MAX_NAME_LENGTH = 128;

/** Parsed headers of `POST /v1/requests`. */
export interface RequestHeaders {
  queue: string;
  work: string;
  noRepeat: boolean;
  deadlineMs: number;
  size: Resources;
  idempotencyKey?: string;
}

function readInteger(req: IncomingMessage, name: string, max: number): number | undefined {
  const text = readHeader(req, name);
  if (text === undefined) return undefined;
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1 || value > max) {
    refuse('invalid-input', `header ${name}: expected an integer from 1 to ${max}, got "${text}"`);
  }
  return value;
}

function requireName(req: IncomingMessage, name: string): string {
  const value = readHeader(req, name);
  if (value === undefined || value === '' || value.length > MAX_NAME_LENGTH) {
    refuse('invalid-input', `header ${name}: expected 1 to ${MAX_NAME_LENGTH} characters`);
  }
  return value;
}

function readFlag(req: IncomingMessage, name: string): boolean {
  const value = readHeader(req, name) ?? 'false';
  if (value !== 'true' && value !== 'false') {
    refuse('invalid-input', `header ${name}: expected "true" or "false", got "${value}"`);
  }
  return value === 'true';
}

/** Parses and validates the headers of a request; a refusal names the invalid header. */
export function readRequestHeaders(req: IncomingMessage): RequestHeaders {
  const idempotencyKey = readHeader(req, 'idempotency-key');
  if (idempotencyKey !== undefined) requireName(req, 'idempotency-key');
  const slots = readInteger(req, 'lagoongap-slots', MAX_SLOTS) ?? 1;
  return {
    queue: requireName(req, 'lagoongap-queue'),
    work: requireName(req, 'lagoongap-work'),
    noRepeat: readFlag(req, 'lagoongap-no-repeat'),
    deadlineMs: readInteger(req, 'lagoongap-deadline-ms', MAX_DEADLINE_MS) ?? DEFAULT_DEADLINE_MS,
    size: { ...NO_RESOURCES, slots },
    idempotencyKey,
  };
}
