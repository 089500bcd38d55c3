import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { LagoongapError } from '@lagoongap/model/lagoongapError.js';
import { createLogger, type LoggerOptions } from '@lagoongap/telemetry/createLogger.js';
import type { LogFields, Logger, LogLevel } from '@lagoongap/telemetry/logger.js';
import fc from 'fast-check';

interface LoggerWorld {
  logger: Logger;
  output: string[];
}

const SECRET = 'lgk_Zm9vYmFy-_0123456789';

const LOG_SECRET: Record<string, (logger: Logger) => void> = {
  'part of the message': (logger) => logger.info(`presented ${SECRET}.`),
  'a bound field': (logger) => logger.child({ caller: { key: 'plain' }, x: SECRET }).info('m'),
  'a field named "token"': (logger) => logger.info('m', { token: 'plain' }),
  'a field named "x" in a list': (logger) => logger.info('m', { list: [{ x: `a${SECRET}` }] }),
  'the message of an error': (logger) => logger.error('m', { err: new Error(`bad ${SECRET}`) }),
  'the cause of an error': (logger) =>
    logger.error('m', { err: new LagoongapError('TestError', 'a', { cause: new Error(SECRET) }) }),
  'a property of an error': (logger) =>
    logger.error('m', { err: Object.assign(new Error('a'), { secret: 'plain' }) }),
  'an authorization header': (logger) =>
    logger.info('m', { headers: new Headers({ Authorization: 'Bearer plain' }) }),
  'a raw header list': (logger) => logger.info('m', { raw: ['Authorization', 'plain'] }),
  'a key of a map': (logger) => logger.info('m', { map: new Map([[SECRET, 1]]) }),
  'a part of a URL': (logger) => logger.info('m', { url: new URL(`http://h/?k=${SECRET}`) }),
};

function createCollectingLogger(opts: LoggerOptions): { logger: Logger; output: string[] } {
  const output: string[] = [];
  const logger = createLogger({ ...opts, stream: { write: (text) => output.push(text) } });
  return { logger, output };
}

Given(
  'a logger of format {string} and level {string}',
  function create(this: LoggerWorld, format: string, level: string) {
    const opts = { format: format as 'json' | 'pretty', level: level as LogLevel };
    Object.assign(this, createCollectingLogger(opts));
  },
);

When(/^a secret is logged as (.*)$/, function logSecret(this: LoggerWorld, source: string) {
  LOG_SECRET[source]!(this.logger);
});

When(
  'a child logger with request {string} logs at every level',
  function logLevels(this: LoggerWorld, requestId: string) {
    const child = this.logger.child({ requestId });
    for (const level of ['debug', 'info', 'warn', 'error'] as const) child[level]('m');
  },
);

When('the fencing token {int} is logged', function logToken(this: LoggerWorld, token: number) {
  this.logger.info('m', { token });
});

When(
  'an error with the cause {string} is logged',
  function logCause(this: LoggerWorld, text: string) {
    this.logger.error('m', {
      err: new LagoongapError('TestError', 'a', { cause: new Error(text) }),
    });
  },
);

When('a record with a circular reference is logged', function logCycle(this: LoggerWorld) {
  const fields: LogFields = {};
  fields.self = [fields];
  this.logger.info('m', { fields });
});

Then(
  'the log has {int} record without the secret',
  function checkRedacted(this: LoggerWorld, count: number) {
    assert.equal(this.output.length, count);
    const text = this.output.join('');
    assert.ok(!text.includes('lgk_') && !text.includes('plain'), text);
    assert.ok(text.includes('[redacted]'), text);
  },
);

Then('{int} random records that contain a secret are logged without it', (runs: number) => {
  const checkIsRedacted = (value: unknown, prefix: string): void => {
    const { logger, output } = createCollectingLogger({ format: 'json' });
    logger.info(prefix, { value, deep: { list: [value, prefix + SECRET] } });
    logger.error('m', { err: Object.assign(new Error(`${prefix}${SECRET}`), { value }) });
    assert.ok(!output.join('').includes(SECRET));
  };
  const secret = fc.string().map((text) => `${text}${SECRET}`);
  const value = fc.object({ values: [fc.string(), fc.double(), secret], key: fc.string() });
  fc.assert(fc.property(value, fc.string(), checkIsRedacted), { numRuns: runs });
});

Then(
  'the log has records of levels {string} with request {string}',
  function checkLevels(this: LoggerWorld, levels: string, requestId: string) {
    const records = this.output.map((line) => JSON.parse(line) as Record<string, unknown>);
    assert.equal(records.map((record) => record.level).join(), levels);
    for (const record of records) assert.equal(record.requestId, requestId);
  },
);

Then(/^the log contains '(.*)'$/, function checkText(this: LoggerWorld, text: string) {
  assert.ok(this.output.join('').includes(text), this.output.join(''));
});
