import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import { proposeWhileLeading } from '@lagoongap/workflow/proposeWhileLeading.js';

import { CommandList } from '../../consensus/commandList.js';
import { ManualCommitLog } from '../../harness/manualCommitLog.js';

class TermLog extends ManualCommitLog {
  override readonly term: number;

  constructor(term: number) {
    super(new CommandList());
    this.term = term;
  }
}

interface ProposalWorld {
  proposalLog: TermLog;
  proposalError?: Error;
}

Given('a log whose leader has the term {int}', function create(this: ProposalWorld, term: number) {
  this.proposalLog = new TermLog(term);
});

When(
  'a command of the leadership of term {int} is proposed',
  async function propose(this: ProposalWorld, term: number) {
    proposeWhileLeading(this.proposalLog, { type: 'cancel', id: 'j' }, term).catch((err: Error) => {
      this.proposalError = err;
    });
    await new Promise(setImmediate);
  },
);

Then('it is refused as not appended', function check(this: ProposalWorld) {
  assert.ok(this.proposalError instanceof NotLeaderError);
});

Then('the log has {int} proposals', function count(this: ProposalWorld, expected: number) {
  assert.equal(this.proposalLog.pendingCount, expected);
});
