import { PeerError } from './peerError.js';

/** Thrown when a message cannot be encoded as a frame, or received bytes are not a valid frame. */
export class FrameError extends PeerError {
  constructor(message: string, cause?: Error) {
    super(message, { cause }, 'FrameError');
  }
}
