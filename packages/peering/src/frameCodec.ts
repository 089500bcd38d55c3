import { toError } from '@lagoongap/model/toError.js';

import { FrameError } from './frameError.js';

/** Size of the length field that precedes the payload of a frame. */
export const FRAME_HEADER_BYTES = 4;

/** JSON object that a frame carries. */
export type FrameMessage = Record<string, unknown>;

/**
 * Encodes a message as a frame. Throws FrameError if the message exceeds the size limit or cannot
 * be encoded as JSON.
 */
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

/** Decodes the payload of a frame. Throws FrameError if it is not a JSON object. */
export function decodePayload(payload: Buffer): FrameMessage {
  let message: unknown;
  try {
    message = JSON.parse(payload.toString('utf8'));
  } catch (err) {
    throw new FrameError('frame payload is not valid JSON', toError(err));
  }
  if (typeof message !== 'object' || message === null || Array.isArray(message)) {
    throw new FrameError('frame payload is not a JSON object');
  }
  return message as FrameMessage;
}
