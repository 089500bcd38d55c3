/**
 * Handles calls of one method; the result is sent back to the calling instance.
 *
 * @param endMs - Monotonic time after which the caller no longer waits, if the call was on its way
 *   for no time; Infinity if not known.
 */
export type PeerMethodHandler = (params: unknown, from: string, endMs: number) => unknown;

/** Options of a call. */
export interface PeerCallOptions {
  /** Timeout after which the call rejects with PeerTimeoutError. */
  timeoutMs: number;
  /**
   * Longest time for which the call waits for a connection that is being established; 0 by default.
   * Counts from the beginning of the connection attempt.
   */
  connectMs?: number;
}

/** JSON-RPC between the instances of a cluster. */
export interface PeerNetwork extends AsyncDisposable {
  /** Instance id of this process. */
  readonly selfId: string;
  /** Registers the handler of a method; a method can have only one. */
  handle(method: string, handler: PeerMethodHandler): void;
  /**
   * Calls a method of an instance. A call to this instance itself bypasses the network. Rejects
   * with PeerTimeoutError (may have been executed), PeerUnavailableError (guaranteed not to have
   * been sent), PeerConnectionLostError (may have been executed) or PeerRemoteError (the handler
   * failed).
   */
  call(
    instanceId: string,
    method: string,
    params: unknown,
    opts: PeerCallOptions,
  ): Promise<unknown>;
  /** Sends a notification, which is dropped if there is no connection. */
  notify(instanceId: string, method: string, params: unknown): void;
  /** Returns whether a frame has arrived from the instance within the failure detection timeout. */
  isAlive(instanceId: string): boolean;
  /** Starts listening; resolves when the port is bound. */
  start(): Promise<void>;
}
