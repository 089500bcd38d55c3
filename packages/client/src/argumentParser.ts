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

/** Command line after parsing. */
export interface ParsedArguments {
  /** Absent if only the help text was asked for, which has been written. */
  command?: CommandDefinition;
  args: string[];
  options: ParsedOptions;
}

/** Options as they stand in the command line. */
export interface ParsedOptions extends CommandOptions {
  texts(flag: string): string[];
}

function flagOf(option: OptionDefinition): string {
  return option.usage.split(' ')[0]!;
}

function takesValue(option: OptionDefinition): boolean {
  return option.usage.includes('<');
}

function nameOf(command: CommandDefinition): string {
  return command.usage.split(' ')[0]!;
}

/** Builds the parser that writes the help text and tells positional arguments from options. */
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

/** The argument parser turns values that look like numbers into numbers, so texts are read here. */
function readOptions(argv: string[], known: OptionDefinition[]): ParsedOptions {
  const values = new Map<string, string[]>();
  for (let i = 0; i < argv.length && argv[i] !== '--'; i++) {
    const [flag, inline] = argv[i]!.split(/=(.*)/s) as [string, string | undefined];
    if (!flag.startsWith('-') || flag === '-') continue;
    const option = known.find((each) => flagOf(each) === flag);
    if (!option) {
      const hint = suggestName(flag, known.map(flagOf));
      throw new ClientError('usage', `unknown option ${flag}${hint}`);
    }
    if (takesValue(option) && inline === undefined) i += 1;
    const value = takesValue(option) ? (inline ?? argv[i]) : '';
    if (value === undefined || (takesValue(option) && inline === undefined && /^--/.test(value))) {
      throw new ClientError('usage', `option ${flag} needs a value: ${option.usage}`);
    }
    if (!takesValue(option) && inline !== undefined) {
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
  const wanted = command.usage.split(' ').slice(1);
  const requiredCount = wanted.filter((each) => each.startsWith('<')).length;
  const isVariadic = wanted.some((each) => each.includes('...'));
  if (args.length < requiredCount || (args.length > wanted.length && !isVariadic)) {
    throw new ClientError('usage', `expected: lagoongap ${command.usage}`);
  }
}

function raiseUnknownCommand(name: string | undefined): never {
  const names = COMMANDS.map(nameOf);
  if (name === undefined) {
    throw new ClientError('usage', `expected a command: ${names.join(', ')}; see --help`);
  }
  const nearest = findNearestName(name, names);
  const hint = nearest === undefined ? '; see --help' : `; did you mean "${nearest}"?`;
  throw new ClientError('usage', `unknown command "${name}"${hint}`);
}

/**
 * Parses a command line without the program's name; writes the help text if it is asked for.
 *
 * @throws {ClientError} with reason `usage` and the nearest right name.
 */
export function parseArguments(argv: string[]): ParsedArguments {
  const cli = buildParser();
  const { args, options: parsed } = cli.parse(['node', 'lagoongap', ...argv], { run: false });
  const command = COMMANDS.find((each) => nameOf(each) === cli.matchedCommandName);
  if (parsed.help) return { args: [], options: readOptions([], []) };
  if (!command) raiseUnknownCommand(args[0]);
  const options = readOptions(argv, [...GLOBAL_OPTIONS, ...(command.options ?? [])]);
  checkArguments(command, [...args]);
  return { command, args: [...args], options };
}
