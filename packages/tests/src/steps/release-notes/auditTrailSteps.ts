import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  type AuditEntry,
  FIRST_PREVIOUS_HASH,
  hashAuditEntry,
  verifyAuditTrail,
} from '@lagoongap/release-notes/auditTrail.js';

interface AuditWorld {
  trail: AuditEntry[];
}

/** Returns an intact trail of accepted notes. */
export function createTrail(length: number): AuditEntry[] {
  const trail: AuditEntry[] = [];
  for (let index = 1; index <= length; index++) {
    const content = {
      index,
      number: index,
      by: 'operator-1',
      wallTime: '2026-01-01T00:00:00.000Z',
      accepted: true,
      contentHash: 'f'.repeat(64),
      summary: `note ${index}`,
      before: {},
      after: { teams: [index] },
      previousHash: trail[index - 2]?.hash ?? FIRST_PREVIOUS_HASH,
    };
    trail.push({ ...content, hash: hashAuditEntry(content) });
  }
  return trail;
}

Given('an audit trail of {int} entries', function create(this: AuditWorld, length: number) {
  this.trail = createTrail(length);
});

When('audit entry {int} is removed', function remove(this: AuditWorld, index: number) {
  this.trail.splice(index - 1, 1);
});

When('the summary of audit entry {int} is edited', function edit(this: AuditWorld, index: number) {
  this.trail[index - 1]!.summary += '!';
});

When(
  'the summary of audit entry {int} is edited and its hash recomputed',
  function editAndHash(this: AuditWorld, index: number) {
    const entry = this.trail[index - 1]!;
    entry.summary += '!';
    entry.hash = hashAuditEntry(entry);
  },
);

When(
  'audit entries {int} and {int} are swapped',
  function swap(this: AuditWorld, first: number, second: number) {
    const [a, b] = [this.trail[first - 1]!, this.trail[second - 1]!];
    this.trail[first - 1] = b;
    this.trail[second - 1] = a;
  },
);

Then('the audit trail is intact', function checkIntact(this: AuditWorld) {
  assert.equal(verifyAuditTrail(this.trail), undefined);
});

Then(
  'the audit trail has a fault at index {int}',
  function checkFault(this: AuditWorld, index: number) {
    assert.equal(verifyAuditTrail(this.trail)?.index, index);
  },
);
