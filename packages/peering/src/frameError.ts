import { PeerError } from './peerError.js';

/** Raised where a frame cannot be encoded, or received bytes are not a frame. */
export class FrameError extends PeerError {
  constructor(message: string, cause?: Error) {
    super(message, { cause }, 'FrameError');
  }
}
