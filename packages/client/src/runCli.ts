import { toError } from '@lagoongap/model/toError.js';

import { type ParsedArguments, type ParsedOptions, parseArguments } from './argumentParser.js';
import { ClientError } from './clientError.js';
import { CommandContext, type CommandInput } from './commandContext.js';
import { EXIT_CODES } from './exitCodes.js';
import { GatewayClient } from './gatewayClient.js';
import { Output, type TextStream } from './output.js';

/** Process environment and streams of the client. */
export interface CliEnvironment extends CommandInput {
  env: Readonly<Record<string, string | undefined>>;
  stdout: TextStream;
  stderr: TextStream;
}

/** URL of the gateway of a local instance with default settings. */
const DEFAULT_GATEWAY = 'http://127.0.0.1:7080';

const DEFAULT_TIMEOUT_S = 30;

/** Longest timeout that Node.js timers accept (2^31 - 1 ms), in whole seconds. */
const MAX_TIMEOUT_S = 2147483;

function readTimeoutMs(options: ParsedOptions): number {
  const text = options.text('--timeout');
  const seconds = text === undefined ? DEFAULT_TIMEOUT_S : Number(text);
  if (!(seconds > 0 && seconds <= MAX_TIMEOUT_S)) {
    throw new ClientError('usage', `expected --timeout <seconds> above 0, found "${text}"`);
  }
  return seconds * 1000;
}

function readGateways(options: ParsedOptions, env: CliEnvironment['env']): string[] {
  const given = options.texts('--gateway');
  const fromEnv = (env.LAGOONGAP_GATEWAY ?? '').split(',').map((url) => url.trim());
  const urls = given.length > 0 ? given : fromEnv.filter((url) => url !== '');
  for (const url of urls) {
    const isHttp = URL.canParse(url) && /^https?:$/.test(new URL(url).protocol);
    if (!isHttp) throw new ClientError('usage', `expected --gateway http(s)://…, found "${url}"`);
  }
  return urls.length > 0 ? urls : [DEFAULT_GATEWAY];
}

async function readOptionFile(
  environment: CliEnvironment,
  options: ParsedOptions,
  flag: string,
): Promise<string | undefined> {
  const file = options.text(flag);
  if (file === undefined) return undefined;
  try {
    return (await environment.readFile(file)).toString('utf8').trim();
  } catch (err) {
    throw new ClientError('usage', `cannot read ${flag} ${file}`, { cause: toError(err) });
  }
}

async function readKey(
  environment: CliEnvironment,
  options: ParsedOptions,
): Promise<string | undefined> {
  const key = (await readOptionFile(environment, options, '--key-file')) ?? '';
  const secret = key === '' ? environment.env.LAGOONGAP_KEY?.trim() : key;
  if (!secret) return undefined;
  // A line break would terminate the authorization header.
  if (!/^[\x21-\x7e]+$/.test(secret)) {
    throw new ClientError('usage', 'expected a key of printable characters without whitespace');
  }
  return secret;
}

async function runCommand(
  { command, args, options }: ParsedArguments,
  environment: CliEnvironment,
  output: Output,
): Promise<void> {
  if (!command) return;
  const key = await readKey(environment, options);
  const ca = await readOptionFile(environment, options, '--ca-file');
  const client = new GatewayClient({
    gateways: readGateways(options, environment.env),
    key,
    timeoutMs: readTimeoutMs(options),
    ca,
    onRetry: (message) => output.notice(message),
  });
  try {
    await command.run(new CommandContext(client, output, environment, options, key), ...args);
  } finally {
    await client[Symbol.asyncDispose]();
  }
}

function reportError(error: ClientError, output: Output): void {
  const exitCode = EXIT_CODES[error.reason];
  if (output.json) {
    const { message, reason, refusal } = error;
    output.notice(JSON.stringify({ error: { reason, message, ...refusal }, exitCode }));
    return;
  }
  const { refusal } = error;
  const id = refusal?.requestId === undefined ? '' : ` (request ${refusal.requestId})`;
  const runState = refusal ? ` [${refusal.type}, ${refusal.runState}]` : '';
  output.notice(`lagoongap: ${error.message}${runState}${id}`);
}

/**
 * Runs the client.
 *
 * @param argv - Command-line arguments without the program name.
 * @returns the exit code.
 */
export async function runCli(argv: string[], environment: CliEnvironment): Promise<number> {
  const { stdout, stderr } = environment;
  const output = new Output(stdout, stderr, argv.includes('--json'));
  try {
    await runCommand(parseArguments(argv), environment, output);
    return EXIT_CODES.ok;
  } catch (err) {
    const cause = toError(err);
    const error =
      cause instanceof ClientError
        ? cause
        : new ClientError('internal', 'internal error', { cause });
    reportError(error, output);
    return EXIT_CODES[error.reason];
  }
}
