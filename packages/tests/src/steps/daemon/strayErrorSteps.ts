import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { SILENT_LOG, type Log } from '@lagoongap/model/log.js';
import { handleStrayErrors } from '@lagoongap/daemon/strayErrors.js';
import { handleStopSignal } from '@lagoongap/daemon/stopSignal.js';
import FakeTimers from '@sinonjs/fake-timers';

interface StrayErrorWorld {
  strayClock?: ReturnType<typeof FakeTimers.install>;
  source: EventEmitter;
  errors: string[];
  exitCode?: number;
  stopCount: number;
  finishStop: () => void;
}

const STOP_TIMEOUT_MS = 6000;

After(function uninstall(this: StrayErrorWorld) {
  this.strayClock?.uninstall();
});

Given('a process that handles stray errors', function create(this: StrayErrorWorld) {
  this.strayClock = FakeTimers.install({ toFake: ['performance', 'setTimeout'] });
  this.source = new EventEmitter();
  this.errors = [];
  this.stopCount = 0;
  const log: Log = { ...SILENT_LOG, error: (message) => this.errors.push(message) };
  const opts = {
    source: this.source,
    log,
    stop: () => {
      this.stopCount += 1;
      return new Promise<void>((resolve) => {
        this.finishStop = resolve;
      });
    },
    exit: (code: number) => {
      this.exitCode ??= code;
    },
  };
  handleStrayErrors({ ...opts, stopTimeoutMs: STOP_TIMEOUT_MS });
  handleStopSignal({ ...opts, graceMs: STOP_TIMEOUT_MS });
});

When(
  '{int} promises are rejected without a handler',
  function reject(this: StrayErrorWorld, count: number) {
    for (let i = 0; i < count; i += 1) this.source.emit('unhandledRejection', new Error('odd'));
  },
);

When('an exception is not caught', function throwError(this: StrayErrorWorld) {
  this.source.emit('uncaughtException', new Error('odd'));
});

When('the process gets the signal to stop', function signal(this: StrayErrorWorld) {
  this.source.emit('SIGTERM');
});

When('the process has stopped', async function finish(this: StrayErrorWorld) {
  this.finishStop();
  await this.strayClock!.tickAsync(0);
});

When('{int} ms pass while it stops', async function pass(this: StrayErrorWorld, ms: number) {
  await this.strayClock!.tickAsync(ms);
});

Then(
  'the process has logged {int} error and has not ended',
  function check(this: StrayErrorWorld, count: number) {
    assert.equal(this.errors.length, count);
    assert.deepEqual([this.exitCode, this.stopCount], [undefined, 0]);
  },
);

Then('the process stops and has not ended', function check(this: StrayErrorWorld) {
  assert.deepEqual([this.exitCode, this.stopCount], [undefined, 1]);
});

Then('the process has ended with code {int}', function check(this: StrayErrorWorld, code: number) {
  assert.equal(this.exitCode, code);
});
