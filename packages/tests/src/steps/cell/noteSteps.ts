import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { CallResponse } from '@lagoongap/stand-in/localCell.js';

import {
  listAvailable,
  fetchAsOperator,
  fetchLeader,
  settleWithin,
  TIMEOUT,
} from './cellSupport.js';
import type { CellWorld, SentNote } from './cellWorld.js';

/** Delay before a note without a final response is sent again. */
const RESEND_DELAY_MS = 50;
const RESPONSE_TIMEOUT_MS = 8000;

interface RaceWorld extends CellWorld {
  /** Notes of both operators with their responses, by number. */
  sentByNumber: Map<number, SentNote[]>;
}

function createTeamNote(number: number, operator = 'a'): string {
  return `number = ${number}
[[added.teams]]
name = "team-${number}-${operator}"
share = 1
limit = { tasks = ${number} }
`;
}

/** Sends a note until it is finally accepted or refused, through another instance each time. */
async function sendNote(world: CellWorld, text: string, first: number): Promise<CallResponse> {
  const { instanceIds } = world.cell!;
  for (let i = first; i < first + 400; i += 1) {
    const call = world.cell!.call(instanceIds[i % instanceIds.length]!, '/v1/notes', {
      method: 'POST',
      body: text,
      key: world.keys.operator.secret,
    });
    const answer = await settleWithin(call, RESPONSE_TIMEOUT_MS).catch(() => undefined);
    // A restarted instance rejects all keys until its first poll has loaded the configuration.
    if (answer && answer.status < 500 && answer.status !== 401) return answer;
    await new Promise((resolve) => {
      setTimeout(resolve, RESEND_DELAY_MS);
    });
  }
  throw new Error(`no instance accepted or refused the note: ${text}`);
}

async function sendNotes(world: CellWorld, count: number): Promise<void> {
  const start = world.notes.at(-1)?.number ?? 1;
  for (let number = start + 1; number <= start + count; number += 1) {
    const text = createTeamNote(number);
    const answer = await sendNote(world, text, number);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    world.notes.push({ number, text, answer });
  }
}

async function sendConflictingNotes(world: RaceWorld, number: number): Promise<void> {
  const sent = await Promise.all(
    ['a', 'b'].map(async (operator, i): Promise<SentNote> => {
      const text = createTeamNote(number, operator);
      return { number, text, answer: await sendNote(world, text, number + i) };
    }),
  );
  world.sentByNumber.set(number, sent);
  world.notes.push(...sent.filter(({ answer }) => answer.status === 200));
}

Given(
  '{int} accepted release notes',
  TIMEOUT,
  async function sendInitialNotes(this: CellWorld, count: number) {
    await sendNotes(this, count);
  },
);

When(
  'the operator sends {int} release notes',
  TIMEOUT,
  async function sendMore(this: CellWorld, count: number) {
    await sendNotes(this, count);
  },
);

When(
  'two operators send conflicting notes for {int} numbers and the leader is killed at numbers {int} and {int}',
  TIMEOUT,
  async function sendConcurrently(this: RaceWorld, count: number, first: number, second: number) {
    this.sentByNumber = new Map();
    for (let number = 2; number <= count; number += 1) {
      const isKilled = number === first || number === second;
      const leader = isKilled ? await fetchLeader(this) : '';
      const sending = sendConflictingNotes(this, number);
      if (isKilled) this.cell!.daemons.get(leader)!.signal('SIGKILL');
      await sending;
      if (isKilled) {
        this.cell!.startDaemon(leader);
        await this.cell!.waitUntilReady(leader);
      }
    }
  },
);

Then('each number was accepted with exactly one content', function checkWinners(this: RaceWorld) {
  for (const [number, sent] of this.sentByNumber) {
    const [winner, ...others] = sent.filter(({ answer }) => answer.status === 200);
    assert.ok(winner, `number ${number} was accepted from neither operator`);
    assert.deepEqual(others, [], `number ${number} was accepted twice`);
    const loser = sent.find((note) => note !== winner)!;
    assert.equal(loser.answer.status, 409, JSON.stringify(loser.answer.body));
    const { winner: winnerHash } = loser.answer.body.error.details;
    assert.equal(winnerHash, winner.answer.body.contentHash, `loser of ${number}`);
  }
});

Then(
  'every instance has the accepted configuration',
  TIMEOUT,
  async function checkEverywhere(this: CellWorld) {
    const { number } = this.notes.at(-1)!;
    await this.cell!.waitFor(`note ${number} in force everywhere`, async () => {
      const status = await fetchAsOperator(this, `/v1/notes/${number}`);
      return status.inForceEverywhere;
    });
    const names = this.notes.map(({ text }) => /name = "(.+)"/.exec(text)![1]);
    for (const id of listAvailable(this)) {
      const { body } = await this.cell!.call(id, '/v1/config', { key: this.keys.operator.secret });
      const teams = Object.keys(body.teams).filter((name) => name.startsWith('team-'));
      assert.deepEqual(teams.sort(), [...names].sort(), `teams that ${id} returns`);
    }
  },
);

Then(
  'each note that is resent gets the same response',
  TIMEOUT,
  async function resend(this: CellWorld) {
    for (const { number, text, answer } of this.notes) {
      const resent = await sendNote(this, text, number);
      assert.deepEqual([resent.status, resent.body], [answer.status, answer.body]);
    }
  },
);

Then(
  'a note with the same number and different content is rejected as a conflict that names the winner',
  TIMEOUT,
  async function checkConflict(this: CellWorld) {
    for (const { number, answer } of [this.notes[0]!, this.notes.at(-1)!]) {
      const other = await sendNote(this, createTeamNote(number, 'other'), number);
      assert.equal(other.status, 409, JSON.stringify(other.body));
      assert.equal(other.body.error.details.winner, answer.body.contentHash);
    }
  },
);
