import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';

import { hasOwnKey } from '@lagoongap/model/hasOwnKey.js';
import {
  explainSchemaIssues,
  explainSyntaxError,
  parseValidParts,
  type SchemaIssue,
} from '@lagoongap/model/schemaFaults.js';
import { toError } from '@lagoongap/model/toError.js';
import { TomlLines } from '@lagoongap/model/tomlLines.js';
import { parse } from 'smol-toml';

import { checkSettings } from './checkSettings.js';
import type { DaemonSettings, TlsSettings } from './daemonSettings.js';
import { SettingsError } from './settingsError.js';
import { SettingsFaultList } from './settingsFaultList.js';
import { settingsSchema } from './settingsSchema.js';

/** Maximum nesting depth of the document; settings need four levels. */
const MAX_DEPTH = 16;

function parseToml(text: string, file: string): object {
  try {
    return parse(text, { maxDepth: MAX_DEPTH });
  } catch (err) {
    const cause = toError(err);
    throw new SettingsError(file, [explainSyntaxError(cause)], { cause });
  }
}

function resolveTls(tls: TlsSettings, folder: string): TlsSettings {
  const paths = Object.entries(tls).map(([key, path]) => [key, path && resolve(folder, path)]);
  return Object.fromEntries(paths) as TlsSettings;
}

/** Resolves relative paths against the folder of the settings file. */
function resolvePaths(settings: DaemonSettings, file: string): DaemonSettings {
  const folder = dirname(resolve(file));
  const { storage, http, peering } = settings;
  return {
    ...settings,
    http: http?.tls ? { ...http, tls: resolveTls(http.tls, folder) } : http,
    peering: peering?.tls ? { ...peering, tls: resolveTls(peering.tls, folder) } : peering,
    ...(storage?.dataFolder && {
      storage: { ...storage, dataFolder: resolve(folder, storage.dataFolder) },
    }),
  };
}

/**
 * Parses and validates daemon settings.
 *
 * @param file - Path for messages; relative paths in the settings are resolved against its folder.
 * @throws {SettingsError} listing every fault.
 */
export function parseSettings(text: string, file: string): DaemonSettings {
  const document = parseToml(text, file);
  const lines = new TomlLines(text);
  const list = new SettingsFaultList(lines);
  const shaped = settingsSchema.safeParse(document);
  if (!shaped.success) {
    const issues = shaped.error.issues as SchemaIssue[];
    list.faults.push(...explainSchemaIssues(issues, settingsSchema, document, lines));
  }
  const read = shaped.success ? shaped.data : parseValidParts(settingsSchema, document);
  const settings = resolvePaths(read as DaemonSettings, file);
  checkSettings(list, settings, hasOwnKey(document, 'storage'));
  if (list.faults.length > 0) throw new SettingsError(file, list.sorted());
  return settings;
}

/**
 * Reads and validates a settings file.
 *
 * @throws {SettingsError} listing every fault, or if the file cannot be read.
 */
export function loadSettings(file: string): DaemonSettings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    const message = `cannot be read: ${toError(err).message}`;
    throw new SettingsError(file, [{ line: 0, path: '', message }], { cause: toError(err) });
  }
  return parseSettings(text, file);
}
