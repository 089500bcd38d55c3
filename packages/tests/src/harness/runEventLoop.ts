/** Number of turns in which everything that needs no timer and no I/O settles. */
const TURNS = 20;

/** Lets the event loop turn until pending promises and immediates have settled. */
export async function runEventLoop(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
