import { randomUUID } from 'node:crypto';
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { FolderLockedError } from './folderLockedError.js';

/** Name of the lock file; names with this prefix belong to the lock. */
export const LOCK_FILE = 'lock';

/** Position of the start time in /proc/<pid>/stat, counted after the command name. */
const START_TIME_FIELD = 19;

interface LockHolder {
  pid: number;
  /** Start time of the process; tells a reused pid apart. */
  startTime: string;
  /** Boot of the machine; a lock of an earlier boot is stale. */
  bootId: string;
  /** Unique per acquisition. */
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
  // The command name is in parentheses and may itself hold spaces and parentheses.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return fields[START_TIME_FIELD] ?? '';
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

/** Creates `name` as a second name of `file`; returns false if `name` exists. */
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
 * Lock file that names its process. A lock whose process no longer runs is taken over, so a
 * killed process does not block its restart.
 */
export class FolderLock implements AsyncDisposable {
  private readonly file: string;
  private readonly token: string;

  private constructor(file: string, token: string) {
    this.file = file;
    this.token = token;
  }

  /** Takes the lock of a folder; rejects with FolderLockedError if a live process has it. */
  static async acquire(folder: string): Promise<FolderLock> {
    const token = randomUUID();
    const file = join(folder, LOCK_FILE);
    const draft = `${file}-${token}.tmp`;
    const holder: LockHolder = {
      pid: process.pid,
      startTime: await readStartTime(process.pid),
      bootId: await readBootId(),
      token,
    };
    await writeFile(draft, JSON.stringify(holder), { flag: 'wx' });
    try {
      await FolderLock.claim(folder, file, draft);
    } finally {
      await rm(draft, { force: true });
    }
    return new FolderLock(file, token);
  }

  /**
   * Gives `draft` the name `file`. The right to replace a stale lock is itself taken by an
   * exclusive name made from the stale token, so two processes cannot both replace it.
   */
  private static async claim(folder: string, file: string, draft: string): Promise<void> {
    while (!(await tryLink(draft, file))) {
      const holder = await readHolder(file);
      if (holder === undefined) continue;
      if (await isHeld(holder)) throw new FolderLockedError(folder, holder.pid);
      const takeover = join(folder, `${LOCK_FILE}-takeover-${holder.token}.tmp`);
      await FolderLock.claim(folder, takeover, draft);
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
