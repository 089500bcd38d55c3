/** Resolves after `ms` milliseconds of the runtime's clock, which tests pause and advance. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
