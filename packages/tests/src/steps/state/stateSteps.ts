import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';
import type { SingleCommand } from '@lagoongap/state/commands.js';
import fc from 'fast-check';

import { createTestNote } from '../../harness/testCell.js';
import { anyCommand } from '../../state/commandArbitrary.js';
import { checkState, RepeatChecker } from '../../state/stateChecks.js';

interface StateWorld {
  runs: number;
}

const MAX_COMMANDS = 40;
const SEED = 20_261_204;
const commands = fc.array(anyCommand, { maxLength: MAX_COMMANDS });

function applyAll(state: ClusterState, list: SingleCommand[], firstIndex = 1): unknown[] {
  return list.map((command, i) => state.apply({ index: firstIndex + i, command }));
}

/** Creates a state with a release note and a job whose tasks must not be repeated. */
function createState(): ClusterState {
  const state = new ClusterState();
  const command = {
    type: 'apply-note',
    note: createTestNote(),
    contentHash: 'hash-1',
    by: 'operator-1',
    wallTime: 1,
  };
  assert.equal((state.apply({ index: 0, command }) as { status: string }).status, 'accepted');
  const size = { ...NO_RESOURCES, cpuMillis: 100 };
  const spec = { kind: 'batch', queue: 'queue-1', work: 'work-1', tasks: 3, size, noRepeat: true };
  const job = { id: 'job-a', team: 'team-1', spec, priority: 1 };
  state.apply({ index: 0, command: { type: 'submit-jobs', jobs: [job], wallTime: 1 } });
  return state;
}

function copy(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

function check(world: StateWorld, property: fc.IProperty<unknown>): void {
  fc.assert(property, { numRuns: world.runs, seed: SEED });
}

When(
  '{int} random command sequences are applied to the state',
  function setRuns(this: StateWorld, runs: number) {
    this.runs = runs;
  },
);

Then('two replicas that apply them have equal states', function checkEqual(this: StateWorld) {
  const property = fc.property(commands, (list) => {
    const [first, second] = [createState(), createState()];
    applyAll(first, copy(list) as SingleCommand[]);
    applyAll(second, copy(list) as SingleCommand[]);
    assert.deepEqual(copy(first.snapshot()), copy(second.snapshot()));
  });
  check(this, property);
});

Then(
  'a replica restored from an intermediate snapshot has the same results and state',
  function checkRestored(this: StateWorld) {
    const property = fc.property(commands, commands, (before, after) => {
      const whole = createState();
      applyAll(whole, copy(before) as SingleCommand[]);
      const restored = createState();
      restored.restore(copy(whole.snapshot()));
      const expected = applyAll(whole, copy(after) as SingleCommand[], 1000);
      const results = applyAll(restored, copy(after) as SingleCommand[], 1000);
      assert.deepEqual(results, expected);
      assert.deepEqual(copy(restored.snapshot()), copy(whole.snapshot()));
    });
    check(this, property);
  },
);

Then(
  'a snapshot does not change while later commands are applied',
  function checkFrozen(this: StateWorld) {
    const property = fc.property(commands, commands, (before, after) => {
      const state = createState();
      applyAll(state, copy(before) as SingleCommand[]);
      const taken = state.snapshot();
      const expected = copy(taken);
      const restored = new ClusterState();
      restored.restore(taken);
      applyAll(state, copy(after) as SingleCommand[], 1000);
      applyAll(restored, copy(after) as SingleCommand[], 1000);
      assert.deepEqual(copy(taken), expected);
    });
    check(this, property);
  },
);

Then(
  'no task has two attempts and no finished job has a running task',
  function checkTables(this: StateWorld) {
    const property = fc.property(commands, (list) => {
      const state = createState();
      list.forEach((command, i) => {
        state.apply({ index: i + 1, command });
        assert.deepEqual(checkState(state), []);
      });
    });
    check(this, property);
  },
);

Then(
  'no task that must not be repeated starts again after it may have run',
  function checkRepeats(this: StateWorld) {
    const property = fc.property(commands, (list) => {
      const state = createState();
      const checker = new RepeatChecker();
      list.forEach((command, i) => {
        checker.applyAndCheck(state, command, () => state.apply({ index: i + 1, command }));
      });
      assert.deepEqual(checker.violations, []);
    });
    check(this, property);
  },
);

Then(
  'an accepted release note keeps its content and its response',
  function checkNotes(this: StateWorld) {
    const property = fc.property(commands, (list) => {
      const state = createState();
      const accepted = new Map<number, string>();
      list.forEach((command, i) => {
        const before = state.config.number;
        const result = state.apply({ index: i + 1, command }) as { status: string } | undefined;
        assert.ok(state.config.number >= before, 'the configuration reverted');
        if (command.type !== 'apply-note') return;
        const { number } = command.note;
        const acceptedHash = accepted.get(number);
        if (acceptedHash === command.contentHash) assert.equal(result?.status, 'accepted');
        else if (acceptedHash !== undefined) assert.equal(result?.status, 'conflict');
        else if (number < before) assert.equal(result?.status, 'outdated');
        if (result?.status === 'accepted') accepted.set(number, command.contentHash);
      });
    });
    check(this, property);
  },
);
