import { Packr } from 'msgpackr';

/**
 * Plain msgpack without records or extensions, readable by any msgpack library. As in JSON, a
 * field that is undefined is dropped and an undefined array element becomes null, so that data
 * is the same whether it came over the network or from disk.
 */
const packr = new Packr({
  useRecords: false,
  moreTypes: false,
  variableMapSize: true,
  encodeUndefinedAsNil: true,
  int64AsType: 'number',
  copyBuffers: true,
  ...{ skipValues: [undefined] },
});

/** Encodes plain data: null, booleans, numbers, strings, arrays, objects and byte arrays. */
export function encodePayload(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes what {@link encodePayload} returned; throws if the bytes are not msgpack. */
export function decodePayload(bytes: Buffer): unknown {
  return packr.unpack(bytes);
}
