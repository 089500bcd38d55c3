import type { FrameMessage } from './frameCodec.js';

/** Version of the frames and control messages. */
export const PROTOCOL_VERSION = 1;

/** First frame of a dialler. */
export interface HelloMessage {
  control: 'hello';
  protocol: number;
  /** Instance id of the dialler. */
  from: string;
  /** Instance id that the dialler expects to have reached. */
  to: string;
}

/** Answer to a hello that was accepted. */
export interface WelcomeMessage {
  control: 'welcome';
  from: string;
  to: string;
}

/** Sent by the dialler at intervals and answered with a pong, so both directions are proved. */
export interface PingMessage {
  control: 'ping' | 'pong';
}

/** Frame of the connection itself; all other frames are JSON-RPC 2.0. */
export type ControlMessage = HelloMessage | WelcomeMessage | PingMessage;

/** Tells whether a frame is a control message of the given kind. */
export function isControl<K extends ControlMessage['control']>(
  message: FrameMessage,
  kind: K,
): message is FrameMessage & Extract<ControlMessage, { control: K }> {
  return message.control === kind;
}
