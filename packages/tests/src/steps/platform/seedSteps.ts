import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { MemberList } from '@lagoongap/daemon/memberList.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { SETTINGS_VARIABLE } from '@lagoongap/platform/platformSettings.js';
import { reloadSeedsWithoutLeader } from '@lagoongap/platform/seeds.js';
import FakeTimers from '@sinonjs/fake-timers';

import { SETTINGS } from '../../platform/documents.js';

interface SeedWorld {
  seedClock?: ReturnType<typeof FakeTimers.install>;
  members: MemberList;
  folder?: string;
}

/** Peer port in `SETTINGS`. */
const PEER_PORT = 7420;

function toIds(hosts: string): string[] {
  return hosts.split(' ').map((host) => `${host}:${PEER_PORT}`);
}

After(function cleanUp(this: SeedWorld) {
  this.seedClock?.uninstall();
  if (this.folder === undefined) return;
  rmSync(this.folder, { recursive: true });
  delete process.env[SETTINGS_VARIABLE];
});

Given(
  'a gateway with the seeds {string} and no leader',
  function createMembers(this: SeedWorld, hosts: string) {
    const toFake = ['setInterval', 'clearInterval', 'performance'] as const;
    this.seedClock = FakeTimers.install({ toFake: [...toFake] });
    this.members = new MemberList(toIds(hosts));
    reloadSeedsWithoutLeader(this.members, SILENT_LOG);
  },
);

When(
  'the settings file contains the seeds {string}',
  function write(this: SeedWorld, hosts: string) {
    this.folder = mkdtempSync(join(tmpdir(), 'lagoongap-seeds-'));
    const file = join(this.folder, 'boot.toml');
    const seeds = hosts.split(' ').map((host) => `${host}:8180`);
    writeFileSync(file, SETTINGS.replace(/^seeds = .*$/m, `seeds = ${JSON.stringify(seeds)}`));
    process.env[SETTINGS_VARIABLE] = file;
  },
);

When('{int} ms pass without a response from a leader', function pass(this: SeedWorld, ms: number) {
  this.seedClock!.tick(ms);
});

Then(
  'the instances known to the gateway include the seeds {string}',
  function check(this: SeedWorld, hosts: string) {
    for (const id of toIds(hosts)) assert.ok(this.members.instances.includes(id), id);
  },
);
