/** Returns whether a key is an own property; inherited ones such as `constructor` do not count. */
export function hasOwnKey(object: object, key: PropertyKey): boolean {
  return Object.getOwnPropertyDescriptor(object, key) !== undefined;
}
