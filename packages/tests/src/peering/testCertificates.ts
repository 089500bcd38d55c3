import { execFile } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

const execFileAsync = promisify(execFile);

/** Elliptic curve keys, because generating one takes only milliseconds. */
const NEW_KEY_ARGS = ['-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:prime256v1', '-nodes'];

function outputArgs(name: string): string[] {
  return ['-keyout', `${name}.key`, '-out', `${name}.pem`];
}

/** Certificates for one scenario, created with the `openssl` command. */
export class TestCertificates {
  readonly folder: string;

  private constructor(folder: string) {
    this.folder = folder;
  }

  /** Creates a temporary folder with the certificate authorities `ca` and `other-ca`. */
  static async create(): Promise<TestCertificates> {
    const folder = await mkdtemp(join(tmpdir(), 'lagoongap-tls-'));
    const certificates = new TestCertificates(folder);
    for (const name of ['ca', 'other-ca']) {
      const subjectArgs = ['-subj', `/CN=${name}`, '-days', '2'];
      await certificates.openssl([
        'req',
        '-x509',
        ...NEW_KEY_ARGS,
        ...subjectArgs,
        ...outputArgs(name),
      ]);
    }
    return certificates;
  }

  file(name: string): string {
    return join(this.folder, name);
  }

  /**
   * Writes `<file>.pem` and `<file>.key`: a certificate for a common name and the address
   * 127.0.0.1, signed by an authority.
   */
  async issue(file: string, commonName: string, authority = 'ca'): Promise<void> {
    const request = `${file}.csr`;
    const subjectArgs = ['-subj', `/CN=${commonName}`];
    const outArgs = ['-keyout', `${file}.key`, '-out', request];
    const addressArgs = ['-addext', 'subjectAltName=IP:127.0.0.1'];
    await this.openssl(['req', ...NEW_KEY_ARGS, ...subjectArgs, ...addressArgs, ...outArgs]);
    const signerArgs = ['-CA', `${authority}.pem`, '-CAkey', `${authority}.key`, '-CAcreateserial'];
    const copyArgs = ['-copy_extensions', 'copy'];
    await this.openssl([
      'x509',
      '-req',
      ...copyArgs,
      '-in',
      request,
      ...signerArgs,
      '-out',
      `${file}.pem`,
    ]);
  }

  /** Overwrites a file with other text. */
  async overwrite(name: string, text: string): Promise<void> {
    await writeFile(this.file(name), text);
  }

  private async openssl(args: string[]): Promise<void> {
    await execFileAsync('openssl', args, { cwd: this.folder });
  }
}
