import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { bootstrapWrite } from '@lagoongap/consensus/bootstrap.js';
import { RaftCore } from '@lagoongap/consensus/raftCore.js';
import type { RaftEffect } from '@lagoongap/consensus/raftEffect.js';
import { DEFAULT_TIMING } from '@lagoongap/consensus/raftTiming.js';

interface CoreWorld {
  core: RaftCore;
  effects: RaftEffect[];
}

function createCore(replicaId: string, processStartMs?: number): RaftCore {
  return new RaftCore({
    replicaId,
    timing: DEFAULT_TIMING,
    random: () => 0.5,
    snapshotEntries: 100,
    ...bootstrapWrite(['a', 'b', 'c']),
    nowMs: 0,
    processStartMs,
  });
}

Given('a Raft core of replica {string} that starts at 0 ms', function create(this: CoreWorld, id) {
  this.core = createCore(id);
});

Given(
  'a Raft core of replica {string} that starts at 0 ms, {int} ms after its process',
  function createLater(this: CoreWorld, id: string, ms: number) {
    this.core = createCore(id, -ms);
  },
);

When(
  'b requests the vote of the Raft core as {string} at {int} ms',
  function requestVote(this: CoreWorld, to: string, nowMs: number) {
    const position = { lastIndex: 1, lastTerm: 1, isTransfer: false };
    this.core.receive({ type: 'vote', from: 'b/bootstrap', to, term: 2, ...position }, nowMs);
    this.effects = this.core.takeEffects();
  },
);

When('the write of the Raft core completes', function completeWrite(this: CoreWorld) {
  const write = this.effects.find((effect) => effect.type === 'write');
  assert.equal(write?.type, 'write');
  this.core.onWriteCompleted(write.write.id, 0);
  this.effects = this.core.takeEffects();
});

Then('the Raft core {string} the vote', function checkVote(this: CoreWorld, decision: string) {
  const replies = this.effects
    .filter((effect) => effect.type === 'send')
    .map(({ message }) => message.type === 'vote-reply' && message.granted);
  const expected = { grants: [true], refuses: [false], 'does not reply to': [] }[decision];
  assert.deepEqual(replies, expected);
});
