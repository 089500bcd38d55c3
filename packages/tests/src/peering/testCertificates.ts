import { execFile } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

const run = promisify(execFile);

/** Elliptic curve keys are made in milliseconds. */
const NEW_KEY = ['-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:prime256v1', '-nodes'];

function outputs(name: string): string[] {
  return ['-keyout', `${name}.key`, '-out', `${name}.pem`];
}

/** Certificates that live as long as a scenario, made with the `openssl` command. */
export class TestCertificates {
  readonly folder: string;

  private constructor(folder: string) {
    this.folder = folder;
  }

  /** Creates a folder with the authorities `ca` and `other-ca`. */
  static async create(): Promise<TestCertificates> {
    const folder = await mkdtemp(join(tmpdir(), 'lagoongap-tls-'));
    const certificates = new TestCertificates(folder);
    for (const name of ['ca', 'other-ca']) {
      const subject = ['-subj', `/CN=${name}`, '-days', '2'];
      await certificates.openssl(['req', '-x509', ...NEW_KEY, ...subject, ...outputs(name)]);
    }
    return certificates;
  }

  file(name: string): string {
    return join(this.folder, name);
  }

  /** Writes `<file>.pem` and `<file>.key` with a common name and 127.0.0.1, signed by an authority. */
  async issue(file: string, commonName: string, authority = 'ca'): Promise<void> {
    const request = `${file}.csr`;
    const subject = ['-subj', `/CN=${commonName}`];
    const files = ['-keyout', `${file}.key`, '-out', request];
    const address = ['-addext', 'subjectAltName=IP:127.0.0.1'];
    await this.openssl(['req', ...NEW_KEY, ...subject, ...address, ...files]);
    const signer = ['-CA', `${authority}.pem`, '-CAkey', `${authority}.key`, '-CAcreateserial'];
    const copy = ['-copy_extensions', 'copy'];
    await this.openssl(['x509', '-req', ...copy, '-in', request, ...signer, '-out', `${file}.pem`]);
  }

  /** Replaces a file by other text. */
  async overwrite(name: string, text: string): Promise<void> {
    await writeFile(this.file(name), text);
  }

  private async openssl(args: string[]): Promise<void> {
    await run('openssl', args, { cwd: this.folder });
  }
}
