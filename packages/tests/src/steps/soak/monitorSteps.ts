import { After, Given, When } from '@cucumber/cucumber';
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';

import { ServiceMonitor } from '../../soak/serviceMonitor.js';
import type { SoakHistory } from '../../soak/soakHistory.js';

interface MonitorWorld {
  history: SoakHistory;
  soakClock?: Clock;
  monitor?: ServiceMonitor;
}

const MILLIS_PER_CORE = 1000;

Given('the clock of the soak is paused', function pause(this: MonitorWorld) {
  this.soakClock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
});

Given('the soak monitors services on {string}', function monitor(this: MonitorWorld, id: string) {
  this.monitor = new ServiceMonitor(this.history, () => [id]);
});

Given(
  'soak service {string} of {int} tasks of {int} cores, at most {int} on an endpoint, is accepted',
  function accept(this: MonitorWorld, id: string, count: number, cores: number, max: number) {
    const cpuMillis = cores * MILLIS_PER_CORE;
    const job = { id, kind: 'service' as const, tasksPerStep: [count], cpuMillis };
    this.history.recordSubmission({ ...job, maxPerEndpoint: max });
    this.history.recordOutcome(id, 'accepted');
  },
);

When('{int} ms of the soak pass', function pass(this: MonitorWorld, ms: number) {
  this.soakClock!.tick(ms);
});

When('the cancellation of soak job {string} is sent', function cancel(this: MonitorWorld, id) {
  this.history.recordCancellationSent(id as string);
});

After(function restoreClock(this: MonitorWorld) {
  this.monitor?.[Symbol.dispose]();
  this.soakClock?.uninstall();
});
