import type { ShapeFault } from '@lagoongap/model/shapeFaults.js';
import { formatTomlPath, type TomlLines, type TomlPath } from '@lagoongap/model/tomlLines.js';

/** Collects faults of settings with their lines. */
export class SettingsFaultList {
  readonly faults: ShapeFault[] = [];

  constructor(private readonly lines: TomlLines) {}

  add(path: TomlPath, message: string): void {
    const line = this.lines.locate(path);
    this.faults.push({ line, path: formatTomlPath(path), message });
  }
}
