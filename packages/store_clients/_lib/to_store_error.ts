import { STORE_FAILURE, StoreError } from "../errors.ts";

/** Codes of connection errors, after which no request was sent. */
const UNREACHABLE_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Converts an error of the HTTP client and determines whether a write may have taken effect. */
export function toStoreError(
  service: string,
  err: unknown,
  options: { isTimeout: boolean; isAborted: boolean },
): StoreError {
  if (err instanceof StoreError) return err;
  const { code } = err as { code?: string };
  const isUnreachable = code !== undefined && UNREACHABLE_CODES.has(code);
  const reason = isUnreachable
    ? STORE_FAILURE.UNREACHABLE
    : options.isTimeout
    ? STORE_FAILURE.TIMEOUT
    : options.isAborted
    ? STORE_FAILURE.ABORTED
    : STORE_FAILURE.CONNECTION_LOST;
  return new StoreError(`Call to "${service}" failed with "${reason}"`, {
    reason,
    mayTakeEffect: !isUnreachable,
    cause: err,
  });
}
