import { FolderLock } from '@lagoongap/storage/folderLock.js';

// Child process of a scenario: acquires the lock of the folder and holds it until killed.
await FolderLock.acquire(process.argv[2]!);
process.send?.('locked');
setInterval(() => undefined, 1000);
