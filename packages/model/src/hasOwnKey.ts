/** Tells whether an object itself has a key; inherited members such as `constructor` do not count. */
export function hasOwnKey(object: object, key: PropertyKey): boolean {
  return Object.getOwnPropertyDescriptor(object, key) !== undefined;
}
