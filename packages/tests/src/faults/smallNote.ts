import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';

/** Returns a release note that adds one team. */
export function createSmallNote(number: number, team: string): ReleaseNote {
  return {
    number,
    added: {
      teams: [{ name: team, share: 1, limit: { tasks: 1 } }],
      keys: [],
      queues: [],
      endpointRules: [],
    },
    changed: { teams: [], keys: [], queues: [], endpointRules: [] },
    withdrawn: { teams: [], keys: [], queues: [], endpointRules: [] },
  };
}
