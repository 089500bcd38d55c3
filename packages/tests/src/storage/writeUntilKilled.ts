import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';

import { createEntry, createSnapshot } from './logStoreFixture.js';

// Child process of a scenario: appends entries and reports each acknowledged one.
const store = new FileLogStore({ dataFolder: process.argv[2]!, segmentBytes: 2000 });
const { snapshot, entries } = await store.load();
for (let index = (snapshot?.index ?? 0) + entries.length + 1; ; index += 1) {
  await store.write({ entries: [createEntry(index)] });
  process.send?.(index);
  if (index % 50 === 0) await store.saveSnapshot(createSnapshot(index - 10));
}
