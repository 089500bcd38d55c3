/** Size of the first block; most bodies fit into it. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Collects the chunks of a body in blocks of its own. Each received chunk is an object with its own
 * memory, or a view of a large receive buffer: keeping chunks of one byte takes hundreds of bytes for
 * each.
 */
export class BodyBuffer {
  private blocks: Buffer[] = [];
  private usedBytes = 0;
  private size = 0;
  private allocated = 0;

  /** Bytes received. */
  get length(): number {
    return this.size;
  }

  /** Bytes of memory that the blocks occupy. */
  get allocatedBytes(): number {
    return this.allocated;
  }

  /** Copies a chunk. */
  append(chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length) {
      const block = this.findBlock(chunk.length - offset);
      const copied = chunk.copy(block, this.usedBytes, offset);
      this.usedBytes += copied;
      offset += copied;
    }
    this.size += chunk.length;
  }

  /** Returns the whole body and forgets it. */
  take(): Buffer {
    const { blocks, size } = this;
    this.clear();
    return blocks.length === 1 ? blocks[0]!.subarray(0, size) : Buffer.concat(blocks, size);
  }

  /** Releases the memory. */
  clear(): void {
    this.blocks = [];
    this.usedBytes = 0;
    this.size = 0;
    this.allocated = 0;
  }

  /** Returns the last block, or a new one if it is full; blocks grow with the body. */
  private findBlock(neededBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last && this.usedBytes < last.length) return last;
    const wantedBytes = Math.max(MIN_BLOCK_BYTES, neededBytes, this.allocated);
    // A pooled allocation would keep the whole pool alive.
    const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, wantedBytes));
    this.blocks.push(block);
    this.allocated += block.length;
    this.usedBytes = 0;
    return block;
  }
}
