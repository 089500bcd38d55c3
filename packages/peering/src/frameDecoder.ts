import { decodePayload, FRAME_HEADER_BYTES, type FrameMessage } from './frameCodec.js';
import { FrameError } from './frameError.js';

/**
 * Cuts a byte stream into frames. Holds at most one unfinished frame and the chunk that was
 * pushed last; a length field alone never leads to an allocation.
 */
export class FrameDecoder {
  /** Largest accepted payload in bytes; may change between frames. */
  maxFrameBytes: number;

  private chunks: Buffer[] = [];
  private buffered = 0;
  /** Bytes of the next frame, 0 while its length field is unknown. */
  private frameBytes = 0;

  constructor(maxFrameBytes: number) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Adds received bytes. */
  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.chunks.push(chunk);
    this.buffered += chunk.length;
  }

  /**
   * Returns the next whole frame, or undefined if more bytes are needed. Raises FrameError for
   * bytes that are no frame; the decoder is of no use afterwards.
   */
  next(): FrameMessage | undefined {
    if (this.frameBytes === 0 && this.buffered >= FRAME_HEADER_BYTES) {
      this.frameBytes = FRAME_HEADER_BYTES + this.readLength();
    }
    if (this.frameBytes === 0 || this.buffered < this.frameBytes) return undefined;
    const bytes = this.merge();
    const payload = bytes.subarray(FRAME_HEADER_BYTES, this.frameBytes);
    const rest = bytes.subarray(this.frameBytes);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.buffered = rest.length;
    this.frameBytes = 0;
    return decodePayload(payload);
  }

  private readLength(): number {
    if (this.chunks[0]!.length < FRAME_HEADER_BYTES) this.merge();
    const length = this.chunks[0]!.readUInt32BE(0);
    if (length === 0) throw new FrameError('frame is empty');
    if (length > this.maxFrameBytes) {
      throw new FrameError(
        `frame of ${length} bytes exceeds the limit of ${this.maxFrameBytes} bytes`,
      );
    }
    return length;
  }

  private merge(): Buffer {
    if (this.chunks.length > 1) this.chunks = [Buffer.concat(this.chunks, this.buffered)];
    return this.chunks[0]!;
  }
}
