import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointRecord } from './endpointRecord.js';
import { FreeCapacityTree } from './freeCapacityTree.js';

/** Endpoints of one data centre that are eligible for the same kinds of work. */
export class EndpointPool {
  readonly records: EndpointRecord[] = [];
  private readonly tree = new FreeCapacityTree();
  /** Increases whenever capacity in the pool becomes free. */
  freedVersion = 0;

  constructor(
    readonly key: string,
    readonly works: ReadonlySet<string>,
    readonly dataCentre: string,
    readonly hasAccelerators: boolean,
  ) {}

  add(record: EndpointRecord): void {
    record.pool = this;
    record.position = this.records.length;
    this.records.push(record);
    this.tree.set(record.position, record.available);
  }

  remove(record: EndpointRecord): void {
    const last = this.records.pop()!;
    this.tree.clear(this.records.length);
    if (last !== record) {
      last.position = record.position;
      this.records[last.position] = last;
      this.tree.set(last.position, last.available);
    }
    record.pool = undefined;
  }

  /** Updates the index after the available capacity of a record has changed. */
  updateAvailable(record: EndpointRecord): void {
    this.tree.set(record.position, record.available);
  }

  /** Returns false only if no endpoint fits; true may be a false positive. */
  mightFit(size: Resources): boolean {
    return this.tree.mightFit(size);
  }

  /** Returns an endpoint that fits and is not excluded, searching from `start`. */
  findFit(size: Resources, start: number, excluded: readonly string[]): EndpointRecord | undefined {
    const position = this.tree.find(
      size,
      start,
      (at) => excluded.length === 0 || !excluded.includes(this.records[at]!.view.id),
    );
    return position < 0 ? undefined : this.records[position];
  }

  /** Calls `callback` with each endpoint that fits. */
  forEachFit(size: Resources, callback: (record: EndpointRecord) => void): void {
    this.tree.find(size, 0, (position) => {
      callback(this.records[position]!);
      return false;
    });
  }
}
