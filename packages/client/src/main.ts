import { readFile } from 'node:fs/promises';
import { buffer } from 'node:stream/consumers';

import { runCli } from './runCli.js';

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  stdout: process.stdout,
  stderr: process.stderr,
  readFile,
  readStdin: () => buffer(process.stdin),
});
