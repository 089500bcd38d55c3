import { toError } from '@lagoongap/model/toError.js';

import { FrameError } from './frameError.js';

/** Bytes of the length field of a frame. */
export const FRAME_HEADER_BYTES = 4;

/** JSON object in a frame. */
export type FrameMessage = Record<string, unknown>;

/** Returns the frame of a message; raises FrameError if it is too large or not JSON. */
export function encodeFrame(message: unknown, maxFrameBytes: number): Buffer {
  let text: string;
  try {
    text = JSON.stringify(message);
  } catch (err) {
    throw new FrameError('message cannot be encoded as JSON', toError(err));
  }
  const length = Buffer.byteLength(text);
  if (length > maxFrameBytes) {
    throw new FrameError(`frame of ${length} bytes exceeds the limit of ${maxFrameBytes} bytes`);
  }
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + length);
  frame.writeUInt32BE(length, 0);
  frame.write(text, FRAME_HEADER_BYTES);
  return frame;
}

/** Returns the message in the payload of a frame; raises FrameError if it is no JSON object. */
export function decodePayload(payload: Buffer): FrameMessage {
  let message: unknown;
  try {
    message = JSON.parse(payload.toString('utf8'));
  } catch (err) {
    throw new FrameError('frame is not JSON', toError(err));
  }
  if (typeof message !== 'object' || message === null || Array.isArray(message)) {
    throw new FrameError('frame is not a JSON object');
  }
  return message as FrameMessage;
}
