import fs from 'node:fs';
import Module from 'node:module';
import path from 'node:path';
import v8 from 'node:v8';
import vm from 'node:vm';

/**
 * How a program was compiled: with its code cache, or without one because there is none for this
 * version of V8 and its flags, or because V8 has rejected it.
 */
export type CodeCacheUse = 'used' | 'absent' | 'rejected';

/** Environment variable that tells a program how it was compiled; see {@link CodeCacheUse}. */
export const CODE_CACHE_VARIABLE = 'LAGOONGAP_CODE_CACHE';

type ModuleFunction = (
  moduleExports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  dirname: string,
) => void;

/** V8 accepts a cache only under the version, flags and processor features it was written with. */
function locateCache(program: string): string {
  return `${program}.${v8.cachedDataVersionTag()}.cache`;
}

function readCache(program: string): Buffer | undefined {
  try {
    return fs.readFileSync(locateCache(program));
  } catch {
    return undefined;
  }
}

/**
 * Compiles all functions of a program (a CommonJS file) and writes the result beside it, for
 * processes that run with the flags of this one.
 */
export function writeCodeCache(program: string): void {
  const file = locateCache(program);
  const source = Module.wrap(fs.readFileSync(program, 'utf8'));
  // Otherwise functions are compiled at their first call only.
  v8.setFlagsFromString('--no-lazy');
  const script = new vm.Script(source, { filename: program });
  v8.setFlagsFromString('--lazy');
  fs.writeFileSync(file, script.createCachedData());
}

/** Runs a program (a CommonJS file), compiled from its code cache if there is one. */
export function runProgram(program: string): void {
  const cachedData = readCache(program);
  const source = Module.wrap(fs.readFileSync(program, 'utf8'));
  const script = new vm.Script(source, { filename: program, cachedData });
  const use: CodeCacheUse = script.cachedDataRejected ? 'rejected' : 'used';
  process.env[CODE_CACHE_VARIABLE] = cachedData ? use : 'absent';
  const run = script.runInThisContext() as ModuleFunction;
  const module = { exports: {} };
  run(module.exports, Module.createRequire(program), module, program, path.dirname(program));
}
