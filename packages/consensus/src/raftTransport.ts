/** Transport for messages between the replicas of different instances. */
export interface RaftTransport {
  /**
   * Sends a JSON-safe message without guaranteed delivery; never throws. Messages may be lost,
   * duplicated, delayed and reordered.
   */
  send(toInstanceId: string, message: unknown): void;
  /** Registers a handler for incoming messages; returns a function that unsubscribes it. */
  onMessage(handler: (message: unknown) => void): () => void;
}
