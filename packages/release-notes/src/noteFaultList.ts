import type { NoteFault } from '@lagoongap/model/releaseNote.js';
import { formatTomlPath, type TomlLines, type TomlPath } from '@lagoongap/model/tomlLines.js';

/** Collects the faults of a release note with their lines. */
export class NoteFaultList {
  readonly faults: NoteFault[] = [];

  /** @param lines - Lines of the text; absent if the note was not read from TOML. */
  constructor(private readonly lines?: TomlLines) {}

  add(path: TomlPath, message: string): void {
    const line = this.lines?.locate(path) ?? 0;
    this.faults.push({ line, path: formatTomlPath(path), message });
  }

  /** Returns the faults in the order of their lines. */
  sorted(): NoteFault[] {
    return [...this.faults].sort((a, b) => a.line - b.line);
  }
}
