import type { AnnounceEndpointCommand } from './commands.js';
import type { EndpointRecord } from './records.js';

/** Endpoints that have announced themselves. */
export class EndpointTable {
  private readonly endpoints = new Map<string, EndpointRecord>();

  get(id: string): EndpointRecord | undefined {
    return this.endpoints.get(id);
  }

  values(): IterableIterator<EndpointRecord> {
    return this.endpoints.values();
  }

  announce(command: AnnounceEndpointCommand): void {
    const { announcement, session } = command;
    this.endpoints.set(announcement.id, { announcement, session, leaving: false });
  }

  markLeaving(id: string): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint) endpoint.leaving = true;
  }

  remove(id: string): void {
    this.endpoints.delete(id);
  }

  snapshot(): EndpointRecord[] {
    return [...this.endpoints.values()].map((endpoint) => ({ ...endpoint }));
  }

  restore(endpoints: EndpointRecord[]): void {
    this.endpoints.clear();
    for (const endpoint of endpoints) {
      this.endpoints.set(endpoint.announcement.id, { ...endpoint });
    }
  }
}
