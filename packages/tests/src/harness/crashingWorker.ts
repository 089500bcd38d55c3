import type { LeaderSession } from '@lagoongap/coordinator/leaderSession.js';
import type { EndpointAnnouncement, StartOrder } from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';

const RUN_MS = 500;
const CORE_CPU_MILLIS = 1000;

/** Worker that announces itself, sends heartbeats and runs tasks; crashes when it starts some. */
export class CrashingWorker {
  readonly announcement: EndpointAnnouncement;
  private session: string | undefined;
  private readonly running = new Map<string, number>();
  private finished: string[] = [];

  constructor(id: string, cores: number) {
    this.announcement = {
      id,
      kind: 'worker',
      url: `http://${id}`,
      size: { ...NO_RESOURCES, cpuMillis: cores * CORE_CPU_MILLIS },
      rack: 'rack-1',
      dataCentre: 'dc-1',
      works: ['metering'],
      speed: 1,
      capabilities: [],
    };
  }

  async announce(leader: LeaderSession): Promise<void> {
    this.session = (await leader.leases.announce(this.announcement)).session;
  }

  async sendHeartbeat(leader: LeaderSession): Promise<void> {
    const { session, announcement } = this;
    if (session === undefined) return;
    const running = [...this.running].map(([attempt, token]) => ({ attempt, token }));
    const finished = this.finished.map((attempt) => ({ attempt, outcome: 'succeeded' as const }));
    const heartbeat = { session, running, finished };
    const res = await leader.leases.handleHeartbeat({ id: announcement.id, heartbeat });
    this.finished = this.finished.filter((attempt) => !res.acknowledged.includes(attempt));
  }

  start({ attempt, token }: StartOrder): void {
    this.running.set(attempt, token);
    setTimeout(() => {
      if (this.running.delete(attempt)) this.finished.push(attempt);
    }, RUN_MS);
  }

  crash(): void {
    this.session = undefined;
    this.running.clear();
    this.finished = [];
  }
}
