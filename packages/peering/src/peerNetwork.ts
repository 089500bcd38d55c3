/** Handles one method; the result is sent back to the caller. */
export type PeerMethodHandler = (params: unknown, from: string) => unknown;

/** Options of a call. */
export interface PeerCallOptions {
  /** Deadline in milliseconds; the call rejects with PeerTimeoutError afterwards. */
  timeoutMs: number;
}

/** JSON-RPC between the instances of the system. */
export interface PeerNetwork extends AsyncDisposable {
  /** Instance id of this process. */
  readonly selfId: string;
  /** Registers the handler of a method; one per method. */
  handle(method: string, handler: PeerMethodHandler): void;
  /**
   * Calls a method of another instance, or of this one without the network.
   * Rejects with PeerTimeoutError, PeerUnavailableError (certainly not sent),
   * PeerConnectionLostError (may have run) or PeerRemoteError (the handler failed).
   */
  call(
    instanceId: string,
    method: string,
    params: unknown,
    opts: PeerCallOptions,
  ): Promise<unknown>;
  /** Sends a notification; dropped if there is no connection. */
  notify(instanceId: string, method: string, params: unknown): void;
  /** Tells whether a frame has arrived from the instance within the liveness bound. */
  isAlive(instanceId: string): boolean;
  /** Starts to listen; resolves when the port is bound. */
  start(): Promise<void>;
}
