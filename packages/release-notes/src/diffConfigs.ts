import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { hasOwnKey } from '@lagoongap/model/hasOwnKey.js';

import { encodeCanonicalJson } from './canonicalJson.js';
import { ENTRY_KINDS, type EntryKind, KIND_LABELS } from './noteSections.js';

/** A field that differs between two versions of an entry; `undefined` if it is absent. */
export interface FieldDiff {
  field: string;
  before: unknown;
  after: unknown;
}

/** One entry that differs between two configurations. */
export interface EntryDiff {
  kind: EntryKind;
  name: string;
  change: 'added' | 'changed' | 'withdrawn';
  /** Fields that differ; all fields for entries that were added or withdrawn. */
  fields: FieldDiff[];
}

/** Difference between two configurations. */
export interface ConfigDiff {
  fromNumber: number;
  toNumber: number;
  entries: EntryDiff[];
}

/** Flattens nested tables to dotted field names, so that each value is compared separately. */
function flattenEntry(entry: object | undefined, prefix = ''): Map<string, unknown> {
  const fields = new Map<string, unknown>();
  for (const [name, value] of Object.entries(entry ?? {})) {
    if (value === undefined) continue;
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      for (const [key, inner] of flattenEntry(value, `${prefix}${name}.`)) fields.set(key, inner);
    } else {
      fields.set(prefix + name, value);
    }
  }
  return fields;
}

function diffFields(before: object | undefined, after: object | undefined): FieldDiff[] {
  const old = flattenEntry(before);
  const current = flattenEntry(after);
  const names = [...new Set([...old.keys(), ...current.keys()])];
  return names
    .map((field) => ({ field, before: old.get(field), after: current.get(field) }))
    .filter((diff) => encodeCanonicalJson(diff.before) !== encodeCanonicalJson(diff.after));
}

function classifyChange(before?: object, after?: object): EntryDiff['change'] {
  if (!before) return 'added';
  return after ? 'changed' : 'withdrawn';
}

/** Lists the entries that differ between two configurations, sorted by kind and name. */
export function diffConfigs(a: ClusterConfig, b: ClusterConfig): ConfigDiff {
  const entries: EntryDiff[] = [];
  for (const kind of ENTRY_KINDS) {
    const names = new Set([...Object.keys(a[kind]), ...Object.keys(b[kind])]);
    for (const name of [...names].sort()) {
      const before = hasOwnKey(a[kind], name) ? a[kind][name] : undefined;
      const after = hasOwnKey(b[kind], name) ? b[kind][name] : undefined;
      const fields = diffFields(before, after);
      if (fields.length === 0) continue;
      entries.push({ kind, name, change: classifyChange(before, after), fields });
    }
  }
  return { fromNumber: a.number, toNumber: b.number, entries };
}

const CHANGE_SIGNS = { added: '+', changed: '~', withdrawn: '-' } as const;

function formatValue(value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value);
}

/** Formats a diff as human-readable text: one line per entry, followed by its fields. */
export function formatConfigDiff(diff: ConfigDiff): string {
  const lines = [`note ${diff.fromNumber} -> ${diff.toNumber}`];
  if (diff.entries.length === 0) lines.push('  no entry differs');
  for (const { kind, name, change, fields } of diff.entries) {
    lines.push(`${CHANGE_SIGNS[change]} ${KIND_LABELS[kind]} ${name}`);
    for (const { field, before, after } of fields) {
      if (change === 'changed') {
        lines.push(`    ${field}: ${formatValue(before)} -> ${formatValue(after)}`);
      } else {
        lines.push(`    ${field}: ${formatValue(change === 'added' ? after : before)}`);
      }
    }
  }
  return `${lines.join('\n')}\n`;
}
