import { FakeNetwork } from '../harness/fakeNetwork.js';

/** Network that records the calls of its instance. */
export class RecordingNetwork extends FakeNetwork {
  /** Ids of the instances that were called, in order. */
  readonly called: string[] = [];

  override call(...args: Parameters<FakeNetwork['call']>): Promise<unknown> {
    this.called.push(args[0]);
    return super.call(...args);
  }
}
