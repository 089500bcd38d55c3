/** Carries messages between the replicas of different instances. */
export interface RaftTransport {
  /**
   * Sends a JSON-safe message, or drops it; never throws. Messages may be lost, repeated,
   * delayed and reordered.
   */
  send(toInstanceId: string, message: unknown): void;
  /** Calls `handler` with each message that arrives; returns a function that unsubscribes. */
  onMessage(handler: (message: unknown) => void): () => void;
}
