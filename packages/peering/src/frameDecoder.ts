import { decodePayload, FRAME_HEADER_BYTES, type FrameMessage } from './frameCodec.js';
import { FrameError } from './frameError.js';

/**
 * Splits a byte stream into frames. Buffers at most one incomplete frame and the last pushed chunk.
 * Memory is never allocated on the basis of a length field alone, so a forged length cannot exhaust
 * it.
 */
export class FrameDecoder {
  /** Largest accepted payload; may change between frames. */
  maxFrameBytes: number;

  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  /** Size of the next frame including its length field; 0 until the length field has arrived. */
  private frameBytes = 0;

  constructor(maxFrameBytes: number) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Appends received bytes to the buffer. */
  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
  }

  /**
   * Returns the message of the next complete frame, or undefined if more bytes are needed. Throws
   * FrameError for an invalid frame; the decoder must not be used afterwards.
   */
  next(): FrameMessage | undefined {
    if (this.frameBytes === 0 && this.bufferedBytes >= FRAME_HEADER_BYTES) {
      this.frameBytes = FRAME_HEADER_BYTES + this.readPayloadLength();
    }
    if (this.frameBytes === 0 || this.bufferedBytes < this.frameBytes) return undefined;
    const bytes = this.mergeChunks();
    const payload = bytes.subarray(FRAME_HEADER_BYTES, this.frameBytes);
    const rest = bytes.subarray(this.frameBytes);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    this.frameBytes = 0;
    return decodePayload(payload);
  }

  private readPayloadLength(): number {
    if (this.chunks[0]!.length < FRAME_HEADER_BYTES) this.mergeChunks();
    const length = this.chunks[0]!.readUInt32BE(0);
    if (length === 0) throw new FrameError('frame has no payload');
    if (length > this.maxFrameBytes) {
      throw new FrameError(
        `frame of ${length} bytes exceeds the limit of ${this.maxFrameBytes} bytes`,
      );
    }
    return length;
  }

  private mergeChunks(): Buffer {
    if (this.chunks.length > 1) this.chunks = [Buffer.concat(this.chunks, this.bufferedBytes)];
    return this.chunks[0]!;
  }
}
