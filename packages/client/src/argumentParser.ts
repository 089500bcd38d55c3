import { findNearestName, suggestName } from '@lagoongap/model/nearestName.js';
import { type CAC, cac } from 'cac';

import { ClientError } from './clientError.js';
import type { CommandOptions } from './commandContext.js';
import {
  type CommandDefinition,
  COMMANDS,
  GLOBAL_OPTIONS,
  type OptionDefinition,
} from './commandTable.js';
import { listExitCodes } from './exitCodes.js';

/** Parsed command line. */
export interface ParsedArguments {
  /** Absent if only the help text was requested; it has been printed by then. */
  command?: CommandDefinition;
  args: string[];
  options: ParsedOptions;
}

/** Options with their values as given in the command line. */
export interface ParsedOptions extends CommandOptions {
  texts(flag: string): string[];
}

function getFlag(option: OptionDefinition): string {
  return option.usage.split(' ')[0]!;
}

function takesValue(option: OptionDefinition): boolean {
  return option.usage.includes('<');
}

function getCommandName(command: CommandDefinition): string {
  return command.usage.split(' ')[0]!;
}

/** Creates the parser that prints the help text and separates arguments from options. */
function buildParser(): CAC {
  const cli = cac('lagoongap');
  for (const { usage, description } of GLOBAL_OPTIONS) cli.option(usage, description);
  for (const { usage, description, options = [] } of COMMANDS) {
    const command = cli.command(usage, description);
    for (const option of options) command.option(option.usage, option.description);
  }
  cli.help((sections) => [...sections, { title: 'Exit codes', body: listExitCodes() }]);
  return cli;
}

/** Reads option values from `argv`, because cac converts those that look like numbers. */
function readOptions(argv: string[], definitions: OptionDefinition[]): ParsedOptions {
  const values = new Map<string, string[]>();
  for (let i = 0; i < argv.length && argv[i] !== '--'; i++) {
    const [flag, inlineValue] = argv[i]!.split(/=(.*)/s) as [string, string | undefined];
    if (!flag.startsWith('-') || flag === '-') continue;
    const option = definitions.find((each) => getFlag(each) === flag);
    if (!option) {
      const hint = suggestName(flag, definitions.map(getFlag));
      throw new ClientError('usage', `unknown option ${flag}${hint}`);
    }
    if (takesValue(option) && inlineValue === undefined) i += 1;
    const value = takesValue(option) ? (inlineValue ?? argv[i]) : '';
    if (
      value === undefined ||
      (takesValue(option) && inlineValue === undefined && /^--/.test(value))
    ) {
      throw new ClientError('usage', `option ${flag} needs a value: ${option.usage}`);
    }
    if (!takesValue(option) && inlineValue !== undefined) {
      throw new ClientError('usage', `option ${flag} takes no value`);
    }
    values.set(flag, [...(values.get(flag) ?? []), value]);
  }
  return {
    has: (flag) => values.has(flag),
    text: (flag) => values.get(flag)?.[0],
    texts: (flag) => values.get(flag) ?? [],
  };
}

function checkArguments(command: CommandDefinition, args: string[]): void {
  const positionals = command.usage.split(' ').slice(1);
  const requiredCount = positionals.filter((each) => each.startsWith('<')).length;
  const isVariadic = positionals.some((each) => each.includes('...'));
  if (args.length < requiredCount || (args.length > positionals.length && !isVariadic)) {
    throw new ClientError('usage', `expected: lagoongap ${command.usage}`);
  }
}

function throwUnknownCommand(name: string | undefined): never {
  const names = COMMANDS.map(getCommandName);
  if (name === undefined) {
    throw new ClientError('usage', `expected a command: ${names.join(', ')}; see --help`);
  }
  const nearest = findNearestName(name, names);
  const hint = nearest === undefined ? '; see --help' : `; did you mean "${nearest}"?`;
  throw new ClientError('usage', `unknown command "${name}"${hint}`);
}

/**
 * Parses a command line without the program name; prints the help text if it is requested.
 *
 * @throws {ClientError} with reason `usage`; the message suggests the nearest valid name.
 */
export function parseArguments(argv: string[]): ParsedArguments {
  const cli = buildParser();
  const { args, options: parsed } = cli.parse(['node', 'lagoongap', ...argv], { run: false });
  const command = COMMANDS.find((each) => getCommandName(each) === cli.matchedCommandName);
  if (parsed.help) return { args: [], options: readOptions([], []) };
  if (!command) throwUnknownCommand(args[0]);
  const options = readOptions(argv, [...GLOBAL_OPTIONS, ...(command.options ?? [])]);
  checkArguments(command, [...args]);
  return { command, args: [...args], options };
}
