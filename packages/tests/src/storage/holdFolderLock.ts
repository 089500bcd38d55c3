import { FolderLock } from '@lagoongap/storage/folderLock.js';

// Child process of a scenario: takes the lock of the folder and holds it until it is killed.
await FolderLock.acquire(process.argv[2]!);
process.send?.('locked');
setInterval(() => undefined, 1000);
