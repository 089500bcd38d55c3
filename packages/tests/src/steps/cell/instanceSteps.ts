import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import { listAvailable, fetchAsOperator, fetchLeader, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

interface RepairWorld extends CellWorld {
  repaired: string;
  votersBefore: string[];
}

async function kill(world: CellWorld, id: string): Promise<void> {
  const daemon = world.cell!.daemons.get(id)!;
  daemon.signal('SIGKILL');
  world.unavailable.push(id);
  await daemon.waitForExit();
}

function restart(world: CellWorld, id: string): void {
  world.cell!.startDaemon(id);
  world.unavailable = world.unavailable.filter((other) => other !== id);
}

When(
  'a follower is killed and restarted with an erased disk',
  TIMEOUT,
  async function eraseFollower(this: RepairWorld) {
    const leader = await fetchLeader(this);
    this.votersBefore = (await fetchAsOperator(this, '/v1/status')).voters;
    this.repaired = listAvailable(this).find((id) => id !== leader)!;
    await kill(this, this.repaired);
    this.cell!.deleteDataFolder(this.repaired);
    restart(this, this.repaired);
  },
);

Then(
  'it becomes a voter again within {int} s',
  TIMEOUT,
  async function checkVoter(this: RepairWorld, seconds: number) {
    const check = async (): Promise<boolean> => {
      const { voters } = await fetchAsOperator(this, '/v1/status');
      const own = voters.filter((id: string) => id.startsWith(`${this.repaired}/`));
      return voters.length === 3 && own.length === 1 && !this.votersBefore.includes(own[0]);
    };
    await this.cell!.waitFor('three voters, one of them new', check, seconds * 1000);
  },
);

When('another replica is killed', TIMEOUT, async function killSecond(this: RepairWorld) {
  // Kills the leader: electing another one then requires the vote of the repaired replica.
  const leader = await fetchLeader(this);
  assert.notEqual(leader, this.repaired);
  await kill(this, leader);
});

When('the killed replica is restarted', TIMEOUT, async function restartReplica(this: CellWorld) {
  const [id] = this.unavailable;
  restart(this, id!);
  await this.cell!.waitUntilReady(id!);
});

When('all daemons are killed and restarted', TIMEOUT, async function restartAll(this: CellWorld) {
  const ids = this.cell!.instanceIds;
  await Promise.all(ids.map((id) => kill(this, id)));
  ids.forEach((id) => restart(this, id));
});
