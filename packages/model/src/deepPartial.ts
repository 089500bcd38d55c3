/**
 * Makes every property and array element optional, recursively; describes a document with faults.
 */
export type DeepPartial<T> = T extends (infer Element)[]
  ? (DeepPartial<Element> | undefined)[]
  : T extends object
    ? { [Key in keyof T]?: DeepPartial<T[Key]> }
    : T;
