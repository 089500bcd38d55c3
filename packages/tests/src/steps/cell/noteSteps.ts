import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { CallAnswer } from '@lagoongap/stand-in/localCell.js';

import { listLiving, readAsOperator, readLeader, settleWithin, TIMEOUT } from './cellSupport.js';
import type { CellWorld, SentNote } from './cellWorld.js';

/** Pause before an answer that was lost is asked for again. */
const RESEND_PAUSE_MS = 50;
const ANSWER_TIMEOUT_MS = 8000;

interface RaceWorld extends CellWorld {
  /** Answers to both operators, by number. */
  races: Map<number, SentNote[]>;
}

function createTeamNote(number: number, operator = 'a'): string {
  return `number = ${number}
[[added.teams]]
name = "team-${number}-${operator}"
share = 1
limit = { tasks = ${number} }
`;
}

/** Sends a note until it is accepted or refused for good, through another instance each time. */
async function sendNote(world: CellWorld, text: string, first: number): Promise<CallAnswer> {
  const { instanceIds } = world.cell!;
  for (let i = first; i < first + 400; i += 1) {
    const call = world.cell!.call(instanceIds[i % instanceIds.length]!, '/v1/notes', {
      method: 'POST',
      body: text,
      key: world.keys.operator.secret,
    });
    const answer = await settleWithin(call, ANSWER_TIMEOUT_MS).catch(() => undefined);
    // An instance that has just started knows no keys until its first poll.
    if (answer && answer.status < 500 && answer.status !== 401) return answer;
    await new Promise((resolve) => {
      setTimeout(resolve, RESEND_PAUSE_MS);
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

async function raceOver(world: RaceWorld, number: number): Promise<void> {
  const sent = await Promise.all(
    ['a', 'b'].map(async (operator, i): Promise<SentNote> => {
      const text = createTeamNote(number, operator);
      return { number, text, answer: await sendNote(world, text, number + i) };
    }),
  );
  world.races.set(number, sent);
  world.notes.push(...sent.filter(({ answer }) => answer.status === 200));
}

Given(
  '{int} accepted release notes',
  TIMEOUT,
  async function accept(this: CellWorld, count: number) {
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
  'two operators race over {int} numbers and the leader is killed at numbers {int} and {int}',
  TIMEOUT,
  async function race(this: RaceWorld, count: number, first: number, second: number) {
    this.races = new Map();
    for (let number = 2; number <= count; number += 1) {
      const isKilled = number === first || number === second;
      const leader = isKilled ? await readLeader(this) : '';
      const both = raceOver(this, number);
      if (isKilled) this.cell!.daemons.get(leader)!.signal('SIGKILL');
      await both;
      if (isKilled) {
        this.cell!.startDaemon(leader);
        await this.cell!.waitUntilReady(leader);
      }
    }
  },
);

Then('each number was won by exactly one content', function checkWinners(this: RaceWorld) {
  for (const [number, sent] of this.races) {
    const [winner, ...others] = sent.filter(({ answer }) => answer.status === 200);
    assert.ok(winner, `number ${number} was accepted from nobody`);
    assert.deepEqual(others, [], `number ${number} was accepted twice`);
    const loser = sent.find((note) => note !== winner)!;
    assert.equal(loser.answer.status, 409, JSON.stringify(loser.answer.body));
    const { winner: named } = loser.answer.body.error.details;
    assert.equal(named, winner.answer.body.contentHash, `loser of ${number}`);
  }
});

Then(
  'every instance has the winning configuration',
  TIMEOUT,
  async function checkEverywhere(this: CellWorld) {
    const { number } = this.notes.at(-1)!;
    await this.cell!.waitFor(`note ${number} in force everywhere`, async () => {
      const force = await readAsOperator(this, `/v1/notes/${number}`);
      return force.inForceEverywhere;
    });
    const names = this.notes.map(({ text }) => /name = "(.+)"/.exec(text)![1]);
    for (const id of listLiving(this)) {
      const { body } = await this.cell!.call(id, '/v1/config', { key: this.keys.operator.secret });
      const teams = Object.keys(body.teams).filter((name) => name.startsWith('team-'));
      assert.deepEqual(teams.sort(), [...names].sort(), `teams as ${id} tells them`);
    }
  },
);

Then(
  'each note that is sent again gets the same answer',
  TIMEOUT,
  async function resend(this: CellWorld) {
    for (const { number, text, answer } of this.notes) {
      const again = await sendNote(this, text, number);
      assert.deepEqual([again.status, again.body], [answer.status, answer.body]);
    }
  },
);

Then(
  'a note with an equal number and other content is a conflict that names the winner',
  TIMEOUT,
  async function checkConflict(this: CellWorld) {
    for (const { number, answer } of [this.notes[0]!, this.notes.at(-1)!]) {
      const other = await sendNote(this, createTeamNote(number, 'other'), number);
      assert.equal(other.status, 409, JSON.stringify(other.body));
      assert.equal(other.body.error.details.winner, answer.body.contentHash);
    }
  },
);
