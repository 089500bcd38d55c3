import type { SchemaFault } from '@lagoongap/model/schemaFaults.js';
import { formatTomlPath, type TomlLines, type TomlPath } from '@lagoongap/model/tomlLines.js';

/** Collects settings faults with their line numbers. */
export class SettingsFaultList {
  readonly faults: SchemaFault[] = [];

  /** @param lines - Lines of the settings file. */
  constructor(private readonly lines: TomlLines) {}

  add(path: TomlPath, message: string): void {
    const line = this.lines.locate(path);
    this.faults.push({ line, path: formatTomlPath(path), message });
  }

  /** Returns the faults ordered by line number. */
  sorted(): SchemaFault[] {
    return [...this.faults].sort((a, b) => a.line - b.line);
  }
}
