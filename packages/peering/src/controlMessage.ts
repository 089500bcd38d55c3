import type { FrameMessage } from './frameCodec.js';

/** Version of the frame format and the control messages. */
export const PROTOCOL_VERSION = 1;

/** First frame that the dialling instance sends on a new connection. */
export interface HelloMessage {
  control: 'hello';
  protocol: number;
  /** Instance id of the dialling instance. */
  from: string;
  /** Instance id that the dialling instance expects at this address. */
  to: string;
}

/** Response to an accepted hello. */
export interface WelcomeMessage {
  control: 'welcome';
  from: string;
  to: string;
}

/**
 * Keep-alive message. The dialling instance sends pings at intervals and the other side replies
 * with pongs, which verifies both directions of the connection.
 */
export interface PingMessage {
  control: 'ping' | 'pong';
}

/** Frame that manages the connection itself; all other frames carry JSON-RPC 2.0 messages. */
export type ControlMessage = HelloMessage | WelcomeMessage | PingMessage;

/** Returns whether a frame is a control message of the given kind. */
export function isControl<K extends ControlMessage['control']>(
  message: FrameMessage,
  kind: K,
): message is FrameMessage & Extract<ControlMessage, { control: K }> {
  return message.control === kind;
}
