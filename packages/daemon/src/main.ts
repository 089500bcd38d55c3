import { findNearestName } from '@lagoongap/model/nearestName.js';
import { loadSettings } from '@lagoongap/settings/loadSettings.js';
import { createLogger } from '@lagoongap/telemetry/createLogger.js';
import { cac } from 'cac';

import { Daemon } from './daemon.js';
import { handleStrayErrors } from './strayErrors.js';

const VERSION = '0.1.0';
const KNOWN_OPTIONS = ['config', 'check', 'help', 'version', 'h', 'v'];
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** Time for accepted work to complete after an exception that was not handled. */
const STOP_TIMEOUT_MS = 10_000;

function fail(message: string, code: number): never {
  process.stderr.write(`lagoongapd: ${message}\n`);
  process.exit(code);
}

async function run(file: string, isCheck: boolean): Promise<void> {
  const settings = loadSettings(file);
  if (isCheck) {
    process.stdout.write(`${file}: settings are valid\n`);
    return;
  }
  const logger = createLogger({ ...settings.log, fields: { instance: settings.instance.id } });
  let daemon: Daemon | undefined;
  const stop = (): void => {
    daemon?.drain().then(
      () => process.exit(0),
      (err: Error) => fail(err.message, EXIT_FAILURE),
    );
  };
  daemon = new Daemon({
    settings,
    logger,
    onDrain: stop,
    onFatal: (err) => fail(err.message, EXIT_FAILURE),
  });
  handleStrayErrors({
    source: process,
    log: logger,
    stop: async () => daemon?.drain(),
    exit: (code) => process.exit(code),
    stopTimeoutMs: STOP_TIMEOUT_MS,
  });
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await daemon.start();
}

function assertKnownOptions(options: Record<string, unknown>): void {
  for (const name of Object.keys(options)) {
    // The option parser stores positional arguments under "--".
    if (name === '--' || KNOWN_OPTIONS.includes(name)) continue;
    const nearest = findNearestName(name, KNOWN_OPTIONS);
    const hint = nearest === undefined ? '' : `; did you mean --${nearest}?`;
    fail(`unknown option --${name}${hint}`, EXIT_USAGE);
  }
}

const cli = cac('lagoongapd');
cli.usage('--config <file> [--check]');
cli.option('--config <file>', 'Settings in TOML');
cli.option('--check', 'Check the settings and exit');
cli.help();
cli.version(VERSION);
const { options } = cli.parse();
if (!options.help && !options.version) {
  assertKnownOptions(options);
  if (typeof options.config !== 'string') fail('--config <file> is required', EXIT_USAGE);
  run(options.config, options.check === true).catch((err: Error) => {
    fail(err.message, EXIT_FAILURE);
  });
}
