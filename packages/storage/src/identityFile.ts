import { toError } from '@lagoongap/model/toError.js';

import { DamagedRecordError } from './damagedRecordError.js';
import { IDENTITY_FILE_NUMBER, TEMPORARY_SUFFIX, type FolderLayout } from './folderLayout.js';
import { decodePayload, encodePayload } from './payloadCodec.js';
import { encodeRecord } from './recordCodec.js';
import { RecordReader } from './recordReader.js';
import type { StorageFileSystem } from './storageFileSystem.js';

/** Reads and writes the file with the replica id. */
export class IdentityFile {
  private readonly fileSystem: StorageFileSystem;
  private readonly layout: FolderLayout;

  constructor(fileSystem: StorageFileSystem, layout: FolderLayout) {
    this.fileSystem = fileSystem;
    this.layout = layout;
  }

  async write(replicaId: string): Promise<void> {
    const path = this.layout.identityPath();
    const temporary = `${path}${TEMPORARY_SUFFIX}`;
    const position = { fileNumber: IDENTITY_FILE_NUMBER, offset: 0 };
    const file = await this.fileSystem.open(temporary, 'create');
    try {
      await file.write(encodeRecord(position, encodePayload({ replicaId })), 0);
      await file.sync();
    } finally {
      await file.close();
    }
    await this.fileSystem.rename(temporary, path);
    await this.fileSystem.syncFolder(this.layout.folder);
  }

  async read(): Promise<string> {
    const path = this.layout.identityPath();
    const file = await this.fileSystem.open(path, 'read');
    try {
      const reader = new RecordReader(file, IDENTITY_FILE_NUMBER);
      const record = await reader.next();
      if (record) return IdentityFile.decode(path, record.payload);
      throw new DamagedRecordError(path, 0, reader.failure?.reason ?? 'the file is empty');
    } finally {
      await file.close();
    }
  }

  private static decode(path: string, payload: Buffer): string {
    try {
      const { replicaId } = decodePayload(payload) as { replicaId: string };
      return replicaId;
    } catch (err) {
      throw new DamagedRecordError(path, 0, 'the payload is not valid msgpack', toError(err));
    }
  }
}
