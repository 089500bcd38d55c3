import { suggestName } from '@lagoongap/model/nearestName.js';
import type { NoteFault } from '@lagoongap/model/releaseNote.js';
import { formatTomlPath, type TomlLines, type TomlPath } from '@lagoongap/model/tomlLines.js';

/**
 * Limits on suggestions. Comparing thousands of unknown names with thousands of known names would
 * block the leader's event loop for seconds.
 */
const MAX_SUGGESTIONS = 20;
const MAX_COMPARED_NAMES = 1000;

/** Collects the faults of a release note and resolves their line numbers. */
export class NoteFaultList {
  readonly faults: NoteFault[] = [];

  /** @param lines - Maps TOML paths to lines; absent if the note was not read from TOML. */
  constructor(private readonly lines?: TomlLines) {}

  add(path: TomlPath, message: string): void {
    const line = this.lines?.locate(path) ?? 0;
    this.faults.push({ line, path: formatTomlPath(path), message });
  }

  /** Returns a hint with the nearest known name, or `''` if there are too many faults or names. */
  suggest(name: string, names: string[]): string {
    const isBounded = this.faults.length < MAX_SUGGESTIONS && names.length <= MAX_COMPARED_NAMES;
    return isBounded ? suggestName(name, names) : '';
  }

  /** Returns the faults sorted by line. */
  sorted(): NoteFault[] {
    return [...this.faults].sort((a, b) => a.line - b.line);
  }
}
