import type { HealthChange, HealthListener } from './healthPolicy.js';

/** Listeners of a health policy; they are called only if the state of an endpoint has changed. */
export class HealthListeners {
  private readonly listeners = new Set<HealthListener>();
  private readonly lastChanges = new Map<string, HealthChange>();

  /** Adds a listener and returns a function that removes it. */
  add(listener: HealthListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Calls the listeners if the state of an endpoint differs from the last reported one. */
  update(change: HealthChange): void {
    const { endpointId, ejected, penalized } = change;
    const previous = this.lastChanges.get(endpointId);
    if (ejected === (previous?.ejected ?? false) && penalized === (previous?.penalized ?? false)) {
      return;
    }
    if (ejected || penalized) this.lastChanges.set(endpointId, change);
    else this.lastChanges.delete(endpointId);
    for (const listener of this.listeners) listener(change);
  }

  /** Removes an endpoint without calling the listeners. */
  removeEndpoint(endpointId: string): void {
    this.lastChanges.delete(endpointId);
  }
}
