import { join } from 'node:path';

/** Suffix of files that are not complete yet; removed at the next start. */
export const TEMPORARY_SUFFIX = '.tmp';

/** Name of the file that holds the replica id. */
export const IDENTITY_FILE = 'identity';

/** File number in the checksums of the identity file. */
export const IDENTITY_NUMBER = 0;

const SEGMENT_NAME = /^segment-(\d{16})\.log$/;
const SNAPSHOT_NAME = /^snapshot-(\d{16})\.snap$/;
const NUMBER_DIGITS = 16;

function pad(value: number): string {
  return String(value).padStart(NUMBER_DIGITS, '0');
}

function pick(names: string[], pattern: RegExp): number[] {
  return names
    .map((name) => pattern.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

/** Names of the files in a data folder. */
export class FolderLayout {
  readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
  }

  identity(): string {
    return join(this.folder, IDENTITY_FILE);
  }

  segment(sequence: number): string {
    return join(this.folder, `segment-${pad(sequence)}.log`);
  }

  snapshot(index: number): string {
    return join(this.folder, `snapshot-${pad(index)}.snap`);
  }

  /** Returns the sequence numbers of the segments among `names`, ascending. */
  segments(names: string[]): number[] {
    return pick(names, SEGMENT_NAME);
  }

  /** Returns the indexes of the snapshots among `names`, ascending. */
  snapshots(names: string[]): number[] {
    return pick(names, SNAPSHOT_NAME);
  }
}
