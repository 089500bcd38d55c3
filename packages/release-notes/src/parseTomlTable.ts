import { explainSyntaxError } from '@lagoongap/model/schemaFaults.js';
import { toError } from '@lagoongap/model/toError.js';
import { parse } from 'smol-toml';

import { ReleaseNoteError } from './releaseNoteError.js';

/**
 * Parses a TOML document.
 *
 * @throws {ReleaseNoteError} with the line of the first syntax error.
 */
export function parseTomlTable(text: string): Record<string, unknown> {
  try {
    return parse(text);
  } catch (err) {
    const cause = toError(err);
    const { line } = explainSyntaxError(cause);
    throw new ReleaseNoteError(`not valid TOML at line ${line}`, { cause });
  }
}
