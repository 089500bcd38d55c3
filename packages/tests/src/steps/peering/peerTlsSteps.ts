import assert from 'node:assert/strict';
import { rm } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { PeeringFixture, type PeeringWorld } from '../../peering/peeringFixture.js';
import { TestCertificates } from '../../peering/testCertificates.js';
import { waitFor } from '../../peering/waitFor.js';

interface TlsWorld extends PeeringWorld {
  certificates?: TestCertificates;
}

/** Issues the certificate of a peer and configures the fixture to use it. */
async function issueFor(world: TlsWorld, id: string, name: string, authority: string) {
  const certificates = world.certificates!;
  await certificates.issue(id, name, authority);
  world.peering.tls.set(id, {
    certFile: certificates.file(`${id}.pem`),
    keyFile: certificates.file(`${id}.key`),
    caFile: certificates.file('ca.pem'),
  });
}

Given(
  'TLS certificates for peers a and b',
  { timeout: 20_000 },
  async function issueAll(this: TlsWorld) {
    this.certificates = await TestCertificates.create();
    this.peering = new PeeringFixture();
    for (const id of ['a', 'b']) await issueFor(this, id, id, 'ca');
  },
);

Given(
  'peer b has a certificate for {word} by {word}',
  async function issueOther(this: TlsWorld, name: string, authority: string) {
    await issueFor(this, 'b', name, authority);
  },
);

Given('the name check is disabled', function disableNameCheck(this: TlsWorld) {
  for (const [id, opts] of this.peering.tls) {
    this.peering.tls.set(id, { ...opts, checkName: false });
  }
});

When('the peers start with TLS', async function startWithTls(this: TlsWorld) {
  await this.peering.start();
  await delay(200);
});

When('peer a starts without TLS and peer b with TLS', async function startMixed(this: TlsWorld) {
  this.peering.tls.delete('a');
  await this.peering.start();
});

When(
  'the certificate of peer b is replaced by one of {word}',
  async function replaceCertificate(this: TlsWorld, authority: string) {
    await this.certificates!.issue('b', 'b', authority);
  },
);

When('peer b has reloaded its certificate files', async function waitForReload(this: TlsWorld) {
  await waitFor('reload', () =>
    this.peering.log.some((line) => line.startsWith('b: certificate files reloaded')),
  );
});

When(
  'the certificate file of peer b is overwritten with invalid data',
  async function overwrite(this: TlsWorld) {
    await this.peering.connect();
    await this.certificates!.overwrite('b.pem', 'not a certificate');
  },
);

When('the connections between the peers are dropped', async function drop(this: TlsWorld) {
  const countLost = () =>
    this.peering.log.filter((line) => line.includes(': connection to instance lost')).length;
  const before = countLost();
  for (const relay of this.peering.relays.values()) relay.dropConnections();
  await waitFor('both sides detect the drop', () => countLost() === before + 2);
});

Then(
  'peer b logs that it keeps the previous certificate files',
  async function checkLog(this: TlsWorld) {
    await waitFor('the log line about unusable files', () =>
      this.peering.log.some((line) => line.startsWith('b: changed certificate files are unusable')),
    );
  },
);

Then(
  'peer b can call peer a within {int} ms',
  async function checkBack(this: TlsWorld, boundMs: number) {
    const works = () => this.peering.call('b', 'a', 'echo', 1).then(Boolean, () => false);
    await waitFor('b can call a', works, boundMs);
  },
);

Then(
  'no calls succeed between the peers within {int} ms',
  async function checkRefused(this: TlsWorld, periodMs: number) {
    const until = performance.now() + periodMs;
    while (performance.now() < until) {
      const calls = [
        this.peering.call('a', 'b', 'echo', 1),
        this.peering.call('b', 'a', 'echo', 1),
      ];
      for (const call of calls) await assert.rejects(call, { name: 'PeerUnavailableError' });
      await delay(20);
    }
  },
);

After(async function removeCertificates(this: TlsWorld) {
  if (this.certificates) await rm(this.certificates.folder, { recursive: true });
});
