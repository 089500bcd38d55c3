import type { Refusal } from '@lagoongap/model/refusal.js';

/** Returns the refusal in a response, or `undefined` if it contains none. */
export function readRefusal(res: { status: number; body: Buffer }): Refusal | undefined {
  if (res.status < 400) return undefined;
  try {
    const { error } = JSON.parse(res.body.toString('utf8')) as { error?: Refusal };
    const isRefusal = typeof error?.type === 'string' && typeof error.runState === 'string';
    return isRefusal ? error : undefined;
  } catch {
    return undefined;
  }
}
