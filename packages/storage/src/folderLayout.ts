import { join } from 'node:path';

/** Suffix of incomplete files; they are removed at the next start. */
export const TEMPORARY_SUFFIX = '.tmp';

/** Name of the file with the replica id. */
export const IDENTITY_FILE = 'identity';

/** File number used in the checksums of the identity file. */
export const IDENTITY_FILE_NUMBER = 0;

const SEGMENT_NAME = /^segment-(\d{16})\.log$/;
const SNAPSHOT_NAME = /^snapshot-(\d{16})\.snap$/;
const NUMBER_DIGITS = 16;

function formatNumber(value: number): string {
  return String(value).padStart(NUMBER_DIGITS, '0');
}

function parseNumbers(names: string[], pattern: RegExp): number[] {
  return names
    .map((name) => pattern.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

/** Builds and parses the file names in a data folder. */
export class FolderLayout {
  readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
  }

  identityPath(): string {
    return join(this.folder, IDENTITY_FILE);
  }

  segmentPath(sequence: number): string {
    return join(this.folder, `segment-${formatNumber(sequence)}.log`);
  }

  snapshotPath(index: number): string {
    return join(this.folder, `snapshot-${formatNumber(index)}.snap`);
  }

  /** Returns the sequence numbers of the segments among `names`, in ascending order. */
  segmentSequences(names: string[]): number[] {
    return parseNumbers(names, SEGMENT_NAME);
  }

  /** Returns the indexes of the snapshots among `names`, in ascending order. */
  snapshotIndexes(names: string[]): number[] {
    return parseNumbers(names, SNAPSHOT_NAME);
  }
}
