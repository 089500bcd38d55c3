import { hasOwnKey } from './hasOwnKey.js';
import { suggestName } from './nearestName.js';
import { formatTomlPath, type TomlLines } from './tomlLines.js';

/** Subset of a zod issue that is needed to explain it. */
export interface SchemaIssue {
  code?: string;
  path: PropertyKey[];
  message: string;
  /** Unknown keys, relative to `path`. */
  keys?: string[];
  /** Expected type. */
  expected?: string;
  /** Permitted values. */
  values?: unknown[];
}

/** Validation error: a mismatch between a document and its expected shape. */
export interface SchemaFault {
  /** Line in the text, starting at 1; 0 if unknown. */
  line: number;
  /** Path such as `added.teams[0].share`. */
  path: string;
  message: string;
}

/**
 * Node of a zod schema. Objects have `shape`, arrays have `element`, and wrappers for optional
 * values and defaults have `unwrap`.
 */
interface SchemaNode {
  safeParse(value: unknown): { success: boolean; data?: unknown };
  shape?: Record<string, SchemaNode>;
  element?: SchemaNode;
  unwrap?: () => SchemaNode;
}

/** Maximum length of a string value that is quoted in a message. */
const MAX_SHOWN_LENGTH = 40;

/** Removes the wrappers for optional values and defaults from a node. */
function unwrapNode(node: SchemaNode | undefined): SchemaNode | undefined {
  let inner = node;
  while (inner && !inner.shape && !inner.element && inner.unwrap) inner = inner.unwrap();
  return inner;
}

/** Returns the keys that the shape defines for the table at `path`. */
function findKnownKeys(root: SchemaNode, path: PropertyKey[]): string[] {
  let node = unwrapNode(root);
  for (const step of path) {
    node = unwrapNode(typeof step === 'number' ? node?.element : node?.shape?.[String(step)]);
  }
  return Object.keys(node?.shape ?? {});
}

function findValue(document: unknown, path: PropertyKey[]): unknown {
  let value = document;
  for (const step of path) {
    if (typeof value !== 'object' || value === null || !hasOwnKey(value, step)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

/** Describes a value for a message; secrets and long strings are not quoted. */
function describeValue(value: unknown): string {
  if (typeof value === 'string') {
    const isQuotable = value.length <= MAX_SHOWN_LENGTH && !value.includes('lgk_');
    return isQuotable ? JSON.stringify(value) : 'a text';
  }
  if (typeof value === 'number' || typeof value === 'boolean') return String(value);
  if (Array.isArray(value)) return 'a list';
  if (value instanceof Date) return 'a date';
  return 'a table';
}

const TYPE_NAMES: Record<string, string> = {
  string: 'a text',
  number: 'a finite number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a table',
};

function explainIssue(issue: SchemaIssue, document: unknown): string {
  const value = findValue(document, issue.path);
  const found = value === undefined ? 'it is missing' : `found ${describeValue(value)}`;
  if (issue.code === 'invalid_type' && issue.expected) {
    return `expected ${TYPE_NAMES[issue.expected] ?? issue.expected}, ${found}`;
  }
  if (issue.code === 'invalid_value' && issue.values) {
    const values = issue.values.map((each) => JSON.stringify(each));
    const hint = typeof value === 'string' ? suggestName(value, issue.values.map(String)) : '';
    return `expected ${values.join(' or ')}, ${found}${hint}`;
  }
  return value === undefined ? issue.message : `${issue.message}, ${found}`;
}

/**
 * Converts validation issues to messages with line numbers. Unknown keys get a suggestion of the
 * nearest known key.
 *
 * @param issues - Issues reported by zod.
 * @param shape - Root of the zod schema, which is searched for known keys.
 * @param document - The parsed document.
 * @param lines - Lines of the text that the document was parsed from.
 */
export function explainSchemaIssues(
  issues: readonly SchemaIssue[],
  shape: unknown,
  document: unknown,
  lines: TomlLines,
): SchemaFault[] {
  const faults: SchemaFault[] = [];
  for (const issue of issues) {
    if (issue.code === 'unrecognized_keys' && issue.keys) {
      const known = findKnownKeys(shape as SchemaNode, issue.path);
      for (const key of issue.keys) {
        const path = [...issue.path, key];
        const message = `unknown key${suggestName(key, known)}`;
        faults.push({ line: lines.locate(path), path: formatTomlPath(path), message });
      }
    } else {
      faults.push({
        line: lines.locate(issue.path),
        path: formatTomlPath(issue.path),
        message: explainIssue(issue, document),
      });
    }
  }
  return faults;
}

/**
 * Converts an error of the TOML parser. Only the first line of its message is used, because the
 * rest is an extract of the text.
 */
export function explainSyntaxError(err: Error & { line?: number; column?: number }): SchemaFault {
  const [reason] = err.message.replace('Invalid TOML document: ', '').split('\n');
  const position = err.column === undefined ? '' : ` (column ${err.column})`;
  return { line: err.line ?? 0, path: '', message: `not valid TOML: ${reason}${position}` };
}

/**
 * Parses the valid parts of a document with faults, so that further checks can run on them. Invalid
 * parts become `undefined`, and defaults are filled in.
 */
export function parseValidParts(shape: unknown, value: unknown): unknown {
  const node = shape as SchemaNode;
  const result = node.safeParse(value);
  if (result.success) return result.data;
  const inner = unwrapNode(node);
  if (inner?.element && Array.isArray(value)) {
    return value.map((element) => parseValidParts(inner.element, element));
  }
  if (inner?.shape && typeof value === 'object' && value !== null && !Array.isArray(value)) {
    const entries = Object.entries(inner.shape).map(([key, child]) => {
      const member: unknown = hasOwnKey(value, key) ? Reflect.get(value, key) : undefined;
      return [key, parseValidParts(child, member)];
    });
    return Object.fromEntries(entries);
  }
  return undefined;
}
