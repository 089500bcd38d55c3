import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';
import type { SchemaFault } from '@lagoongap/model/schemaFaults.js';

function formatFault(file: string, fault: SchemaFault): string {
  const location = fault.line > 0 ? `${file}:${fault.line}` : file;
  return `  ${location}: ${fault.path === '' ? '' : `${fault.path}: `}${fault.message}`;
}

/** Raised for faulty daemon settings; the message lists every fault with file, line and key. */
export class SettingsError extends LagoongapError {
  readonly file: string;
  readonly faults: readonly SchemaFault[];

  constructor(file: string, faults: readonly SchemaFault[], opts?: LagoongapErrorOptions) {
    const faultCount = faults.length === 1 ? '1 fault' : `${faults.length} faults`;
    const lines = faults.map((fault) => formatFault(file, fault));
    const message = [`${file} has ${faultCount}:`, ...lines].join('\n');
    super('SettingsError', message, opts);
    // Drops the cause's message that the base class appends; the faults already explain the cause.
    this.message = message;
    this.file = file;
    this.faults = faults;
  }
}
