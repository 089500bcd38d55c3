import type { HealthChange, HealthListener } from './healthPolicy.js';

/** Listeners of a health policy; passes on only what has changed for an endpoint. */
export class HealthListeners {
  private readonly listeners = new Set<HealthListener>();
  private readonly last = new Map<string, HealthChange>();

  /** Adds a listener and returns a function that removes it. */
  add(listener: HealthListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Passes on the present treatment of an endpoint if it differs from the last one. */
  update(change: HealthChange): void {
    const { endpointId, ejected, penalized } = change;
    const before = this.last.get(endpointId);
    if (ejected === (before?.ejected ?? false) && penalized === (before?.penalized ?? false)) {
      return;
    }
    if (ejected || penalized) this.last.set(endpointId, change);
    else this.last.delete(endpointId);
    for (const listener of this.listeners) listener(change);
  }

  /** Forgets an endpoint without a call. */
  forget(endpointId: string): void {
    this.last.delete(endpointId);
  }
}
