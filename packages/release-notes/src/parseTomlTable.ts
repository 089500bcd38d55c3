import { explainSyntaxError } from '@lagoongap/model/shapeFaults.js';
import { toError } from '@lagoongap/model/toError.js';
import { parse } from 'smol-toml';

import { ReleaseNoteError } from './releaseNoteError.js';

/**
 * Parses any TOML text.
 *
 * @throws {ReleaseNoteError} with the line of the first fault.
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
