import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';
import type { ShapeFault } from '@lagoongap/model/shapeFaults.js';

function formatFault(file: string, fault: ShapeFault): string {
  const place = fault.line > 0 ? `${file}:${fault.line}` : file;
  return `  ${place}: ${fault.path === '' ? '' : `${fault.path}: `}${fault.message}`;
}

/** Raised for faulty daemon settings; the message lists every fault with file, line and key. */
export class SettingsError extends LagoongapError {
  readonly file: string;
  readonly faults: readonly ShapeFault[];

  constructor(file: string, faults: readonly ShapeFault[], opts?: LagoongapErrorOptions) {
    const noun = faults.length === 1 ? '1 fault' : `${faults.length} faults`;
    const lines = faults.map((fault) => formatFault(file, fault));
    const message = [`${file} has ${noun}:`, ...lines].join('\n');
    super('SettingsError', message, opts);
    // The faults explain the cause already, whose message the base class appends.
    this.message = message;
    this.file = file;
    this.faults = faults;
  }
}
