import { randomUUID } from 'node:crypto';
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { FolderLockedError } from './folderLockedError.js';

/** Name of the lock file; all file names with this prefix belong to the lock. */
export const LOCK_FILE = 'lock';

/** Index of the start time among the fields after the command name in /proc/<pid>/stat. */
const START_TIME_FIELD_INDEX = 19;

interface LockHolder {
  pid: number;
  /** Start time of the process; distinguishes it from a later process with the same pid. */
  startTime: string;
  /** Boot id of the machine; a lock from an earlier boot is stale. */
  bootId: string;
  /** Unique id of the acquisition. */
  token: string;
}

async function readText(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch {
    return undefined;
  }
}

async function readStartTime(pid: number): Promise<string> {
  const text = await readText(`/proc/${pid}/stat`);
  if (text === undefined) return '';
  // The command name is enclosed in parentheses and may itself contain spaces and parentheses.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return fields[START_TIME_FIELD_INDEX] ?? '';
}

async function readBootId(): Promise<string> {
  return ((await readText('/proc/sys/kernel/random/boot_id')) ?? '').trim();
}

async function readHolder(file: string): Promise<LockHolder | undefined> {
  const text = await readText(file);
  if (text === undefined) return undefined;
  try {
    return JSON.parse(text) as LockHolder;
  } catch {
    return { pid: 0, startTime: '', bootId: '', token: 'unreadable' };
  }
}

function isRunning(pid: number): boolean {
  if (!Number.isInteger(pid) || pid <= 0) return false;
  try {
    process.kill(pid, 0);
    return true;
  } catch (err) {
    return (err as NodeJS.ErrnoException).code === 'EPERM';
  }
}

async function isHeld(holder: LockHolder): Promise<boolean> {
  if (!isRunning(holder.pid)) return false;
  if (holder.bootId !== (await readBootId())) return false;
  return holder.startTime === (await readStartTime(holder.pid));
}

/** Creates a hard link `name` to `file`; returns false if `name` exists. */
async function tryLink(file: string, name: string): Promise<boolean> {
  try {
    await link(file, name);
    return true;
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw err;
  }
}

/**
 * Lock file that identifies its process. A lock whose process is no longer running is stale and is
 * replaced, so a killed process does not block its restart.
 */
export class FolderLock implements AsyncDisposable {
  private readonly file: string;
  private readonly token: string;

  private constructor(file: string, token: string) {
    this.file = file;
    this.token = token;
  }

  /**
   * Acquires the lock of a folder; rejects with FolderLockedError if a running process holds it.
   */
  static async acquire(folder: string): Promise<FolderLock> {
    const token = randomUUID();
    const file = join(folder, LOCK_FILE);
    const temporaryFile = `${file}-${token}.tmp`;
    const holder: LockHolder = {
      pid: process.pid,
      startTime: await readStartTime(process.pid),
      bootId: await readBootId(),
      token,
    };
    await writeFile(temporaryFile, JSON.stringify(holder), { flag: 'wx' });
    try {
      await FolderLock.claim(folder, file, temporaryFile);
    } finally {
      await rm(temporaryFile, { force: true });
    }
    return new FolderLock(file, token);
  }

  /**
   * Links `temporaryFile` to the name `file`. Replacing a stale lock requires a takeover lock,
   * whose name contains the token of the stale lock, so that two processes cannot both replace it.
   */
  private static async claim(folder: string, file: string, temporaryFile: string): Promise<void> {
    while (!(await tryLink(temporaryFile, file))) {
      const holder = await readHolder(file);
      if (holder === undefined) continue;
      if (await isHeld(holder)) throw new FolderLockedError(folder, holder.pid);
      const takeover = join(folder, `${LOCK_FILE}-takeover-${holder.token}.tmp`);
      await FolderLock.claim(folder, takeover, temporaryFile);
      try {
        const current = await readHolder(file);
        if (current?.token !== holder.token) continue;
        await rename(takeover, file);
        return;
      } finally {
        await rm(takeover, { force: true });
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const holder = await readHolder(this.file);
    if (holder?.token === this.token) await rm(this.file, { force: true });
  }
}
