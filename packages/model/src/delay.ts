/** Resolves after `ms` milliseconds. Uses the global timers, so that tests can fake the clock. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
