import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { rm } from 'node:fs/promises';
import { resolve } from 'node:path';
import { connect } from 'node:tls';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { createDemoKeys } from '@lagoongap/stand-in/demo/demoNote.js';
import { LocalCell } from '@lagoongap/stand-in/localCell.js';
import { request } from 'undici';

import { TestCertificates } from '../../peering/testCertificates.js';
import type { CellWorld } from '../cell/cellWorld.js';

interface TlsWorld extends CellWorld {
  certificates: TestCertificates;
  pid: number;
  serial: string;
}

interface Handshake {
  serial?: string;
  error?: string;
}

const TIMEOUT = { timeout: 90_000 };
const BINARY = resolve('packages/client/bin/lagoongap.js');

/** Time to wait for an alert by which the server rejects the client's certificate. */
const ALERT_WAIT_MS = 300;

function readPeeringPort(world: TlsWorld, id: string): number {
  const settings = readFileSync(`${world.cell!.folder}/${id}.toml`, 'utf8');
  const [, port] = /\[peering\][^[]*?port = (\d+)/.exec(settings)!;
  return Number(port);
}

function handshake(world: TlsWorld, port: number, certificate?: string): Promise<Handshake> {
  const { certificates } = world;
  return new Promise((done) => {
    const socket = connect({
      port,
      host: '127.0.0.1',
      ca: readFileSync(certificates.file('ca.pem')),
      ...(certificate !== undefined && {
        cert: readFileSync(certificates.file(`${certificate}.pem`)),
        key: readFileSync(certificates.file(`${certificate}.key`)),
      }),
    });
    const finish = (result: Handshake): void => {
      socket.destroy();
      done(result);
    };
    socket.on('error', (err) => finish({ error: err.message }));
    socket.on('secureConnect', () => {
      const serial = socket.getPeerCertificate().serialNumber;
      setTimeout(() => finish({ serial }), ALERT_WAIT_MS);
    });
  });
}

function runStatus(world: TlsWorld, id: string, args: string[]): Promise<number> {
  const gateway = `--gateway=${world.cell!.url(id)}`;
  const env = { ...process.env, LAGOONGAP_KEY: world.keys.operator.secret };
  return new Promise((done) => {
    execFile(process.execPath, [BINARY, 'status', gateway, ...args], { env }, (err) => {
      done(err ? Number(err.code) : 0);
    });
  });
}

function httpPort(world: TlsWorld, id: string): number {
  return Number(new URL(world.cell!.url(id)).port);
}

After({ tags: '@daemon-tls' }, async function removeFiles(this: TlsWorld) {
  await rm(this.certificates.folder, { recursive: true, force: true });
});

Given(
  'a cell of {int} daemons with TLS',
  TIMEOUT,
  async function startCell(this: TlsWorld, instances: number) {
    this.certificates = await TestCertificates.create();
    const { certificates } = this;
    for (let i = 1; i <= instances; i++) {
      await certificates.issue(`instance-${i}`, `instance-${i}`);
    }
    this.cell = new LocalCell({
      instances,
      replicas: instances,
      tls: {
        ca: readFileSync(certificates.file('ca.pem'), 'utf8'),
        files: (id) => ({
          certFile: certificates.file(`${id}.pem`),
          keyFile: certificates.file(`${id}.key`),
          caFile: certificates.file('ca.pem'),
        }),
      },
    });
    this.keys = createDemoKeys(this.cell.operatorKey);
    await this.cell.start();
    this.pid = this.cell.daemons.get('instance-1')!.pid;
  },
);

Then(
  'the client binary reaches {string} with the CA certificate',
  TIMEOUT,
  async function checkReached(this: TlsWorld, id: string) {
    const caFile = this.certificates.file('ca.pem');
    assert.equal(await runStatus(this, id, [`--ca-file=${caFile}`]), 0);
  },
);

Then(
  'the client binary does not reach {string} without the CA certificate',
  TIMEOUT,
  async function checkNotReached(this: TlsWorld, id: string) {
    assert.equal(await runStatus(this, id, []), 3);
  },
);

Then(
  'a plain-text request to {string} fails',
  async function checkPlain(this: TlsWorld, id: string) {
    const url = this.cell!.url(id).replace('https:', 'http:');
    await assert.rejects(request(`${url}/healthz`));
  },
);

Then(
  'an instance without a certificate cannot open a peer connection to {string}',
  async function checkMutual(this: TlsWorld, id: string) {
    const port = readPeeringPort(this, id);
    assert.ok((await handshake(this, port)).error, 'a peer without a certificate was accepted');
    const accepted = await handshake(this, port, 'instance-2');
    assert.equal(accepted.error, undefined);
    this.serial = accepted.serial!;
  },
);

When(
  'the certificate of {string} is replaced by one with a different serial number',
  async function replaceCertificate(this: TlsWorld, id: string) {
    await this.certificates.issue(id, id);
  },
);

Then(
  '{string} presents the new certificate to callers and to instances within {int} s',
  TIMEOUT,
  async function checkReplaced(this: TlsWorld, id: string, seconds: number) {
    const isNew = ({ serial }: Handshake): boolean =>
      serial !== undefined && serial !== this.serial;
    await this.cell!.waitFor(
      'the new certificate',
      async () => {
        const forCallers = await handshake(this, httpPort(this, id));
        const forPeers = await handshake(this, readPeeringPort(this, id), 'instance-2');
        return isNew(forCallers) && forCallers.serial === forPeers.serial;
      },
      seconds * 1000,
    );
    this.serial = (await handshake(this, httpPort(this, id))).serial!;
  },
);

Then(
  'the process of {string} has not restarted',
  function checkProcess(this: TlsWorld, id: string) {
    const daemon = this.cell!.daemons.get(id)!;
    assert.equal(daemon.hasExited, false);
    assert.equal(daemon.pid, this.pid);
  },
);

When(
  'the certificate file of {string} is corrupted',
  async function corrupt(this: TlsWorld, id: string) {
    await this.certificates.overwrite(`${id}.pem`, 'no certificate');
  },
);

Then(
  '{string} logs that the changed files are unusable and keeps the old certificate',
  TIMEOUT,
  async function checkKept(this: TlsWorld, id: string) {
    await this.cell!.waitFor('a log record about the unusable files', async () =>
      readFileSync(`${this.cell!.folder}/${id}.log`, 'utf8').includes(
        'changed certificate files are unusable; the old ones stay',
      ),
    );
    assert.equal((await handshake(this, httpPort(this, id))).serial, this.serial);
    assert.equal((await this.cell!.call(id, '/readyz')).status, 200);
  },
);
