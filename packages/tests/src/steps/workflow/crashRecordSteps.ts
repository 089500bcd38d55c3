import assert from 'node:assert/strict';

import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import {
  addCrash,
  harmlessAfterMs,
  isConvicted,
  type CrashEvidence,
} from '@lagoongap/workflow/crashRecord.js';
import { estimateSuspicion } from '@lagoongap/workflow/crashSuspicion.js';
import type { CrashHistory } from '@lagoongap/workflow/workflowRecords.js';

interface CrashRecordWorld {
  history: CrashHistory | undefined;
  suspicions: number[];
}

/** Exposure up to which a crash counts as prompt in these scenarios. */
const PROMPT_MS = 1000;

const EVIDENCE: Record<string, Partial<CrashEvidence>> = {
  'as the only suspect': { isSoleCause: true, suspicion: 0.99 },
  'as one of several': { suspicion: 0.3 },
  'with many other endpoints': { isExcused: true, suspicion: 0.1 },
};

Given('a task with these crashes:', function addAll(this: CrashRecordWorld, table: DataTable) {
  this.history = undefined;
  for (const row of table.hashes()) {
    this.history = addCrash(this.history, Number(row.run), {
      exposureMs: Number(row.exposure),
      suspicion: Number(row.suspicion),
      isPrompt: row.prompt === 'yes',
      isSoleCause: row.sole === 'yes',
      isExcused: row.excused === 'yes',
    });
  }
});

When(
  /^its run (\d+) crashes after (\d+) ms, (.+)$/,
  function add(this: CrashRecordWorld, run: string, exposure: string, evidence: string) {
    const exposureMs = Number(exposure);
    this.history = addCrash(this.history, Number(run), {
      exposureMs,
      suspicion: 1,
      isPrompt: exposureMs <= PROMPT_MS,
      isSoleCause: false,
      isExcused: false,
      ...EVIDENCE[evidence],
    });
  },
);

When(
  /^the runs of a task crash (.+) after (.+) ms, all excused$/,
  function addAll(this: CrashRecordWorld, instances: string, exposures: string) {
    this.history = undefined;
    const excused = { suspicion: 0.1, isPrompt: false, isSoleCause: false, isExcused: true };
    exposures.split(' ').forEach((exposure, index) => {
      const instance = instances.split(' ')[index];
      const evidence = { ...excused, exposureMs: Number(exposure), instance };
      this.history = addCrash(this.history, index + 1, evidence);
    });
  },
);

Then(
  /^the task is (not )?convicted$/,
  function check(this: CrashRecordWorld, negation: string | null) {
    assert.equal(isConvicted(this.history!), negation === null);
  },
);

Then('its next run is watched for {int} ms', function check(this: CrashRecordWorld, ms: number) {
  assert.equal(harmlessAfterMs(this.history!.exposureMs), ms);
});

Given(
  'an endpoint crashes with runs that started {int}, {int} and {int} ms before',
  function crash(this: CrashRecordWorld, first: number, second: number, third: number) {
    const witnesses = [first, second, third].map((exposureMs, index) => ({
      key: String(index),
      exposureMs,
      priorCrashes: 0,
    }));
    this.suspicions = [...estimateSuspicion(witnesses).values()];
  },
);

Then(
  'the suspicions are about {float}, {float} and {float}',
  function check(this: CrashRecordWorld, first: number, second: number, third: number) {
    const rounded = this.suspicions.map((suspicion) => Number(suspicion.toFixed(2)));
    assert.deepEqual(rounded, [first, second, third]);
  },
);
