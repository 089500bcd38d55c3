import type { EndpointDirectory } from './endpointDirectory.js';
import type { SessionContext } from './sessionContext.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Why a heartbeat cannot come from the endpoint that it names. */
export interface HeartbeatFault {
  /** Field that contradicts what the endpoint itself reports. */
  field: 'address' | 'born';
  reason: string;
}

/** Returns whether a record is of a later incarnation on the same instance or address. */
export function supersedes(record: EndpointRecord, other: EndpointRecord): boolean {
  if (other.bornMs >= record.bornMs) return false;
  if (other.id === record.id) return true;
  const isSameInstance = record.instance !== '' && other.instance === record.instance;
  return isSameInstance || other.address === record.address;
}

/**
 * Checks heartbeats that contradict the record of a known endpoint. Anyone can write a heartbeat,
 * but only the endpoint itself responds at its address; so it is inspected before it is superseded.
 */
export class EndpointClaims {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;

  constructor(context: SessionContext, directory: EndpointDirectory) {
    this.context = context;
    this.directory = directory;
  }

  /** Returns whether accepting the record requires a check against known endpoints. */
  isContested(record: EndpointRecord): boolean {
    return (
      this.hasMoved(record) || this.isEarlier(record) || this.listSuperseded(record).length > 0
    );
  }

  /** Resolves with the fault of a contested record, or with undefined if it is plausible. */
  async check(record: EndpointRecord): Promise<HeartbeatFault | undefined> {
    if (this.hasMoved(record)) {
      const { address } = this.directory.find(record.id)!.record;
      const reason = `is "${record.address}"; this incarnation responds at ${address}`;
      return { field: 'address', reason };
    }
    const others = this.listSuperseded(record);
    // The runs of other ids are lost at once, so the claimant itself has to respond.
    const needsResponse = others.some(({ id }) => id !== record.id);
    const [hasResponded, ...responds] = await Promise.all([
      !needsResponse || this.respondsAs(record),
      ...others.map((other) => this.respondsAs(other)),
    ]);
    const alive = others[responds.indexOf(true)];
    if (alive) {
      const reason = `is ${record.bornMs}; endpoint ${alive.id} born ${alive.bornMs} still responds`;
      return { field: 'born', reason };
    }
    if (hasResponded) return undefined;
    const reason = `is ${record.bornMs}; nothing at ${record.address} responds as ${record.id}`;
    return { field: 'born', reason };
  }

  /** Resolves with whether an endpoint responds as this incarnation, not as the later known one. */
  async hasReturned(record: EndpointRecord): Promise<boolean> {
    return this.isEarlier(record) && (await this.respondsAs(record)) && this.isEarlier(record);
  }

  /** Returns whether the same incarnation has responded at another address. */
  private hasMoved({ id, bornMs, address }: EndpointRecord): boolean {
    const known = this.directory.find(id);
    if (!known?.isSynced || bornMs === 0) return false;
    return known.record.bornMs === bornMs && known.record.address !== address;
  }

  /** Returns whether the record is earlier than the known one, which has not responded. */
  private isEarlier({ id, bornMs }: EndpointRecord): boolean {
    const known = this.directory.find(id);
    return known !== undefined && !known.isSynced && bornMs > 0 && bornMs < known.record.bornMs;
  }

  private listSuperseded(record: EndpointRecord): EndpointRecord[] {
    const known = this.directory.list().map((agent) => agent.record);
    return known.filter((other) => other.bornMs > 0 && supersedes(record, other));
  }

  private async respondsAs(record: EndpointRecord): Promise<boolean> {
    const { driver, fencingToken, isValid } = this.context;
    if (!isValid()) return false;
    const result = await driver.inspect(record, { fencingToken, ackedReport: 0, waitMs: 0 });
    return 'answer' in result && result.answer.bornMs === record.bornMs;
  }
}
