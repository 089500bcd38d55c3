import { loadSettings } from '@lagoongap/settings/loadSettings.js';
import { createLogger } from '@lagoongap/telemetry/createLogger.js';
import { cac } from 'cac';

import { Daemon } from './daemon.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

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
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await daemon.start();
}

const cli = cac('lagoongapd');
cli.option('--config <file>', 'Settings in TOML');
cli.option('--check', 'Check the settings and exit');
cli.help();
cli.version('0.1.0');
const { options } = cli.parse();
if (!options.help && !options.version) {
  if (typeof options.config !== 'string') fail('--config <file> is required', EXIT_USAGE);
  run(options.config, options.check === true).catch((err: Error) => {
    fail(err.message, EXIT_FAILURE);
  });
}
