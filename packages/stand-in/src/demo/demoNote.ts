import { createKey, type CreatedKey } from '@lagoongap/release-notes/accessKeys.js';

/** Keys that the release note of the demo adds. */
export interface DemoKeys {
  operator: CreatedKey;
  endpoint: CreatedKey;
  laboratories: CreatedKey;
  utilities: CreatedKey;
}

/** Creates the keys of the demo; the operator key exists already. */
export function createDemoKeys(operator: CreatedKey): DemoKeys {
  return {
    operator,
    endpoint: createKey(),
    laboratories: createKey(),
    utilities: createKey(),
  };
}

/** Returns a release note with two teams, their keys, a queue of each kind and one rule. */
export function createDemoNote(keys: DemoKeys): string {
  const queues = [
    ['certificates', 'request', 900],
    ['indexing', 'service', 100],
    ['recomputation', 'batch', 500],
    ['bench-runs', 'gang', 500],
  ] as const;
  return `
number = 1
comment = "first configuration"

[[added.teams]]
name = "laboratories"
share = 3
limit = { tasks = 200 }

[[added.teams]]
name = "utilities"
share = 1
limit = { tasks = 200 }

[[added.keys]]
id = "operator-1"
hash = "${keys.operator.hash}"
role = "operator"

[[added.keys]]
id = "endpoint-1"
hash = "${keys.endpoint.hash}"
role = "endpoint"

[[added.keys]]
id = "laboratories-1"
hash = "${keys.laboratories.hash}"
role = "caller"
team = "laboratories"

[[added.keys]]
id = "utilities-1"
hash = "${keys.utilities.hash}"
role = "caller"
team = "utilities"
${queues
  .map(
    ([name, kind, priority]) => `
[[added.queues]]
name = "${name}"
kind = "${kind}"
open = false
priority = ${priority}
works = ["metering"]
maxWaiting = 20000
`,
  )
  .join('')}
[[added.endpointRules]]
name = "all"
match = {}
works = ["metering"]
`;
}
