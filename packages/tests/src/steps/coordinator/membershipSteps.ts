import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { instanceIdOf } from '@lagoongap/consensus/replicaId.js';
import type { Membership } from '@lagoongap/consensus/replicatedLog.js';
import { ReplicaManager } from '@lagoongap/coordinator/replicaManager.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import FakeTimers from '@sinonjs/fake-timers';

import { ManualCommitLog } from '../../harness/manualCommitLog.js';
import { CommandList } from '../../consensus/commandList.js';

/** Log whose membership changes take effect immediately. */
class MemberLog extends ManualCommitLog {
  private membership: Membership;

  constructor(voters: string[]) {
    super(new CommandList());
    this.membership = { voters, learners: [] };
  }

  override members(): Membership {
    const { voters, learners } = this.membership;
    return { voters: [...voters], learners: [...learners] };
  }

  override async addLearner(id: string): Promise<void> {
    this.membership.learners.push(id);
  }

  override async promote(id: string): Promise<void> {
    await this.removeMember(id);
    this.membership.voters.push(id);
  }

  override async removeMember(id: string): Promise<void> {
    const { voters, learners } = this.membership;
    const isOther = (other: string): boolean => other !== id;
    this.membership = { voters: voters.filter(isOther), learners: learners.filter(isOther) };
  }

  override isCaughtUp(): boolean {
    return true;
  }
}

interface MembershipWorld {
  membershipClock?: ReturnType<typeof FakeTimers.install>;
  log: MemberLog;
  unreachable: Set<string>;
  manager: ReplicaManager;
}

const LEADER = 'b';
const FIRST_DISK = 'first';
const SECOND_DISK = 'second';
const CHECK_INTERVAL_MS = 500;
const MAX_JOIN_STEPS = 5;

/** Repeats the call of a joining replica as the replica does; returns its last state. */
async function repeatJoin(
  world: MembershipWorld,
  instance: string,
  disk: string,
): Promise<'learner' | 'voter'> {
  const replicaId = `${instance}/${disk}`;
  for (let steps = 0; steps < MAX_JOIN_STEPS; steps += 1) {
    const { state } = await world.manager.join({ instance, replicaId });
    if (state === 'voter') return state;
  }
  return 'learner';
}

async function join(world: MembershipWorld, instance: string, disk: string): Promise<void> {
  const state = await repeatJoin(world, instance, disk);
  assert.equal(state, 'voter', `${instance}/${disk} did not become a voter`);
}

After(function restore(this: MembershipWorld) {
  this.membershipClock?.uninstall();
});

Given('the voters {string}', function create(this: MembershipWorld, instances: string) {
  this.membershipClock = FakeTimers.install({ toFake: ['performance'] });
  this.unreachable = new Set();
  this.log = new MemberLog(instances.split(' ').map((id) => `${id}/${FIRST_DISK}`));
  this.manager = new ReplicaManager({
    log: this.log,
    logger: SILENT_LOG,
    instanceId: LEADER,
    isReachable: (instance) => !this.unreachable.has(instance),
  });
});

When(
  'replica instance {string} becomes unreachable',
  function becomeUnreachable(this: MembershipWorld, instance: string) {
    this.unreachable.add(instance);
  },
);

When(
  'replica instance {string} becomes reachable',
  function becomeReachable(this: MembershipWorld, id: string) {
    this.unreachable.delete(id);
  },
);

When('replica instance {string} joins', async function joinNew(this: MembershipWorld, id: string) {
  await join(this, id, FIRST_DISK);
});

When(
  'replica instances {string} join at the same time',
  async function joinTogether(this: MembershipWorld, instances: string) {
    for (let steps = 0; steps < MAX_JOIN_STEPS; steps += 1) {
      for (const instance of instances.split(' ')) {
        await this.manager.join({ instance, replicaId: `${instance}/${FIRST_DISK}` });
      }
    }
  },
);

When(
  'replica instance {string} joins on standby',
  async function joinOnStandby(this: MembershipWorld, instance: string) {
    assert.equal(await repeatJoin(this, instance, FIRST_DISK), 'learner');
  },
);

When(
  'replica instance {string} joins with an empty disk',
  async function joinEmpty(this: MembershipWorld, id: string) {
    await join(this, id, SECOND_DISK);
  },
);

When(
  'the membership is checked for {int} ms',
  async function check(this: MembershipWorld, ms: number) {
    for (let passed = 0; passed <= ms; passed += CHECK_INTERVAL_MS) {
      await this.manager.shrinkEvenGroup();
      this.membershipClock!.tick(CHECK_INTERVAL_MS);
    }
  },
);

Then('the voters are {string}', function checkVoters(this: MembershipWorld, instances: string) {
  assert.equal(this.log.members().voters.map(instanceIdOf).join(' '), instances);
});

Then('the learners are {string}', function checkLearners(this: MembershipWorld, instances: string) {
  assert.equal(this.log.members().learners.map(instanceIdOf).join(' '), instances);
});

Then(
  'a partition into halves of all replicas leaves one half a majority',
  function checkHalves(this: MembershipWorld) {
    const { voters, learners } = this.log.members();
    const all = [...voters, ...learners];
    for (let mask = 0; mask < 2 ** all.length; mask += 1) {
      const half = all.filter((_, index) => Math.floor(mask / 2 ** index) % 2 === 1);
      if (half.length * 2 !== all.length) continue;
      const votes = voters.filter((id) => half.includes(id)).length;
      const hasMajority = votes * 2 > voters.length || (voters.length - votes) * 2 > voters.length;
      assert.ok(hasMajority, `neither half has a majority: ${half.join()} of ${voters.join()}`);
    }
  },
);

Then('the former replica of {string} has no vote', function check(this: MembershipWorld, id) {
  assert.ok(!this.log.members().voters.includes(`${id}/${FIRST_DISK}`));
});
