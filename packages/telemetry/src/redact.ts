/** Replacement for a secret. */
export const REDACTED = '[redacted]';

/** Maximum nesting depth of logged data; deeper data is omitted. */
const MAX_DEPTH = 8;

/** Maximum number of elements or properties that are logged of one value. */
const MAX_ENTRIES = 200;

/** Maximum length of a logged text; longer texts are truncated after redaction. */
const MAX_TEXT_LENGTH = 16384;

const SECRET_PATTERN = /lgk_[\w-]*/g;
// Words of fewer than 16 characters after "basic" are treated as prose; the system itself only uses
// bearer keys.
const AUTHORIZATION_PATTERN =
  /\b(bearer(?=(?:\s+|%20)\S)|basic(?=(?:\s+|%20)[\w+/=-]{16}))(\s+|%20)[^\s"',;]+/gi;

/** Names of fields that contain secrets, in lower case and without separators. */
const SECRET_FIELDS = new Set([
  'accesskey',
  'apikey',
  'authorization',
  'callerkey',
  'cookie',
  'endpointkey',
  'key',
  'operatorkey',
  'password',
  'privatekey',
  'proxyauthorization',
  'secret',
  'setcookie',
  'token',
]);

/** Names of headers with secret values, for lists that alternate between names and values. */
const SECRET_HEADER_PATTERN = /^((proxy-)?authorization|(set-)?cookie)$/i;

/** Error properties that are written separately or that repeat the message and cause. */
const INTERNAL_ERROR_FIELDS = new Set([
  'cause',
  'errors',
  'jse_cause',
  'jse_info',
  'jse_shortmsg',
  'message',
  'name',
  'stack',
]);

/** Replaces keys and credentials in a text. */
export function redactText(text: string): string {
  const redacted = text
    .replace(SECRET_PATTERN, REDACTED)
    .replace(AUTHORIZATION_PATTERN, `$1 ${REDACTED}`);
  return redacted.length > MAX_TEXT_LENGTH ? `${redacted.slice(0, MAX_TEXT_LENGTH)}…` : redacted;
}

/** How a field name is written, and whether it is that of a secret. */
interface FieldName {
  text: string;
  isSecret: boolean;
}

/** Maximum number of field names that are remembered, as some come from data. */
const MAX_FIELD_NAMES = 1000;

const fieldNames = new Map<string, FieldName>();

function describeFieldName(name: string): FieldName {
  const known = fieldNames.get(name);
  if (known) return known;
  const described = {
    text: redactText(name),
    isSecret: SECRET_FIELDS.has(name.toLowerCase().replace(/[-_]/g, '')),
  };
  if (fieldNames.size < MAX_FIELD_NAMES) fieldNames.set(name, described);
  return described;
}

/** Returns whether a field contains a secret. Numbers are fencing tokens, which are not secret. */
function isSecretField({ isSecret }: FieldName, value: unknown): boolean {
  return isSecret && typeof value !== 'number' && value !== undefined && value !== null;
}

function readProperty(object: object, name: string): unknown {
  try {
    return (object as Record<string, unknown>)[name];
  } catch {
    return '[unreadable]';
  }
}

function findCause(error: Error): unknown {
  const cause: unknown = readProperty(error, 'cause');
  return typeof cause === 'function' ? cause.call(error) : cause;
}

/** Copies one value and tracks the enclosing objects of the current one to detect cycles. */
class Redactor {
  private readonly parents: object[] = [];

  redact(value: unknown): unknown {
    if (typeof value === 'string') return redactText(value);
    if (typeof value === 'bigint' || typeof value === 'symbol') return redactText(String(value));
    if (typeof value === 'function') return '[function]';
    if (typeof value !== 'object' || value === null) return value;
    return this.redactObject(value);
  }

  private redactObject(value: object): unknown {
    if (value instanceof Date) return Number.isNaN(value.getTime()) ? null : value.toISOString();
    if (value instanceof URL || value instanceof RegExp) return redactText(String(value));
    if (ArrayBuffer.isView(value)) return `[${value.byteLength} bytes]`;
    if (this.parents.includes(value)) return '[circular]';
    if (this.parents.length >= MAX_DEPTH) return '[too deep]';
    this.parents.push(value);
    try {
      return this.redactMembers(value);
    } finally {
      this.parents.pop();
    }
  }

  private redactMembers(value: object): unknown {
    if (value instanceof Error) return this.redactError(value);
    if (Array.isArray(value)) return this.redactList(value);
    if (value instanceof Set) return this.redactList([...value]);
    const entries: [string, unknown][] =
      value instanceof Map || value instanceof Headers
        ? [...value].map(([name, each]) => [String(name), each])
        : Object.keys(value).map((name) => [name, readProperty(value, name)]);
    return Object.fromEntries(
      entries.slice(0, MAX_ENTRIES).map((entry) => this.redactEntry(entry)),
    );
  }

  private redactEntry([name, value]: [string, unknown]): [string, unknown] {
    const described = describeFieldName(name);
    return [described.text, isSecretField(described, value) ? REDACTED : this.redact(value)];
  }

  private redactList(list: unknown[]): unknown[] {
    return list.slice(0, MAX_ENTRIES).map((value, index) => {
      const previous = list[index - 1];
      const isSecret = typeof previous === 'string' && SECRET_HEADER_PATTERN.test(previous);
      return isSecret && typeof value === 'string' ? REDACTED : this.redact(value);
    });
  }

  private redactError(error: Error): Record<string, unknown> {
    const entries: [string, unknown][] = [
      ['name', error.name],
      ['message', error.message],
      ['stack', error.stack],
    ];
    for (const name of Object.keys(error)) {
      if (!INTERNAL_ERROR_FIELDS.has(name)) entries.push([name, readProperty(error, name)]);
    }
    entries.push(['cause', findCause(error)]);
    if (error instanceof AggregateError) entries.push(['errors', error.errors]);
    const present = entries.filter(([, value]) => value !== undefined && value !== null);
    return Object.fromEntries(present.map((entry) => this.redactEntry(entry)));
  }
}

/**
 * Returns a copy of a value as plain JSON data in which keys, credentials and fields with the names
 * of secrets are replaced. Errors become objects with name, message, stack and cause.
 */
export function redact(value: unknown): unknown {
  return new Redactor().redact(value);
}
