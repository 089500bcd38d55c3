import type { Logger as Tslog } from 'tslog';

import { LOG_LEVELS, type LogFields, type Logger, type LogLevel } from './logger.js';
import { redact, redactText } from './redact.js';

/** Level ids of tslog. */
const LEVEL_IDS: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  notice: 3,
  warn: 4,
  error: 5,
};

/** Logger based on tslog; redacts records before it passes them on. */
export class TslogLogger implements Logger {
  constructor(
    private readonly tslog: Tslog<unknown>,
    private readonly minLevel: LogLevel,
    private readonly bound: LogFields = {},
  ) {}

  debug(message: string, fields?: LogFields): void {
    this.write('debug', message, fields);
  }

  info(message: string, fields?: LogFields): void {
    this.write('info', message, fields);
  }

  notice(message: string, fields?: LogFields): void {
    this.write('notice', message, fields);
  }

  warn(message: string, fields?: LogFields): void {
    this.write('warn', message, fields);
  }

  error(message: string, fields?: LogFields): void {
    this.write('error', message, fields);
  }

  isEnabled(level: LogLevel): boolean {
    return LOG_LEVELS.indexOf(level) >= LOG_LEVELS.indexOf(this.minLevel);
  }

  child(fields: LogFields): Logger {
    return new TslogLogger(this.tslog, this.minLevel, { ...this.bound, ...fields });
  }

  private write(level: LogLevel, message: string, fields: LogFields = {}): void {
    if (!this.isEnabled(level)) return;
    const record = redact({ ...this.bound, ...fields });
    this.tslog.log(LEVEL_IDS[level], level.toUpperCase(), redactText(message), record);
  }
}
