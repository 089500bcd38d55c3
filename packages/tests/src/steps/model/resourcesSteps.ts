import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { fitsInto, type Resources } from '@lagoongap/model/resources.js';

interface ResourcesWorld {
  free: Resources;
  needed: Resources;
}

Given(
  'an endpoint with {int} millicores, {int} MiB, {int} accelerators and {int} slots free',
  function setFree(this: ResourcesWorld, cpuMillis, memoryMib, accelerators, slots) {
    this.free = { cpuMillis, memoryMib, accelerators, slots };
  },
);

When(
  'a task needs {int} millicores, {int} MiB, {int} accelerators and {int} slots',
  function setNeeded(this: ResourcesWorld, cpuMillis, memoryMib, accelerators, slots) {
    this.needed = { cpuMillis, memoryMib, accelerators, slots };
  },
);

Then('the task fits', function checkFits(this: ResourcesWorld) {
  assert.equal(fitsInto(this.needed, this.free), true);
});

Then('the task does not fit', function checkDoesNotFit(this: ResourcesWorld) {
  assert.equal(fitsInto(this.needed, this.free), false);
});
