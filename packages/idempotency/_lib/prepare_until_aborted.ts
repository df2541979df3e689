import type { LedgerCall, PreparedCall } from "../types.ts";

/** Gets a server ready until the signal aborts; one that becomes ready later is given back. */
export async function prepareUntilAborted(
  call: LedgerCall,
  signal: AbortSignal,
): Promise<PreparedCall> {
  signal.throwIfAborted();
  const preparing = call.prepare(signal);
  let onAbort = () => {};
  const aborted = new Promise<never>((_resolve, reject) => {
    onAbort = () => {
      preparing.then((late) => late.abandon(), () => {});
      reject(signal.reason);
    };
    signal.addEventListener("abort", onAbort, { once: true });
  });
  try {
    return await Promise.race([preparing, aborted]);
  } finally {
    signal.removeEventListener("abort", onAbort);
  }
}
