/** Data of which any part may be missing, as read from a faulty document. */
export type DeepPartial<T> = T extends (infer Element)[]
  ? (DeepPartial<Element> | undefined)[]
  : T extends object
    ? { [Key in keyof T]?: DeepPartial<T[Key]> }
    : T;
