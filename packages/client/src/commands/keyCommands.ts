import { suggestName } from '@lagoongap/model/nearestName.js';
import { createKey, hashKey } from '@lagoongap/release-notes/accessKeys.js';

import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';

const ROLES = ['caller', 'endpoint', 'operator'];

function printNewKey(context: CommandContext): void {
  const { options, output } = context;
  const role = options.text('--role') ?? 'caller';
  const team = options.text('--team');
  if (!ROLES.includes(role)) {
    const hint = suggestName(role, ROLES);
    throw new ClientError('usage', `expected --role ${ROLES.join('|')}${hint}`);
  }
  if ((role === 'caller') !== (team !== undefined)) {
    const expected = role === 'caller' ? 'needs --team <name>' : 'takes no --team';
    throw new ClientError('usage', `a key of role "${role}" ${expected}`);
  }
  const created = createKey();
  const id = options.text('--id') ?? created.id;
  const fields = [`id = ${JSON.stringify(id)}`, `role = "${role}"`, `hash = "${created.hash}"`];
  if (team !== undefined) fields.push(`team = ${JSON.stringify(team)}`);
  const toml = ['[[added.keys]]', ...fields].join('\n');
  output.notice('The secret is shown only once; the lines below it go into a release note.');
  const data = { ...created, id, role, team, toml };
  output.result(data, `${created.secret}\n\n${toml}`);
}

async function printHash(context: CommandContext): Promise<void> {
  const secret = context.key ?? (await context.input.readStdin()).toString('utf8').trim();
  if (secret === '') {
    const message = 'expected a secret on standard input, in --key-file or in LAGOONGAP_KEY';
    throw new ClientError('usage', message);
  }
  const hash = hashKey(secret);
  context.output.result({ hash }, hash);
}

/** `key create|hash`: creates a key or hashes the secret of a key. */
export async function manageKeys(context: CommandContext, action: string): Promise<void> {
  if (action === 'create') {
    printNewKey(context);
  } else if (action === 'hash') {
    await printHash(context);
  } else {
    const hint = suggestName(action, ['create', 'hash']);
    throw new ClientError('usage', `unknown action "key ${action}"${hint}`);
  }
}
