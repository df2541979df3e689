import type { ObjectClient } from "@jaypass/store_clients";
import { MAX_INLINE_RESULT_BYTES } from "../constants.ts";
import { MissingResultError } from "../errors.ts";
import type { CallResult, LedgerTiming, StoredResult } from "../types.ts";

/** Creates the storage of results: small ones in the record, large ones in the object store. */
export function createResultStore(
  options: { objects: ObjectClient; timing: LedgerTiming },
) {
  const { objects, timing } = options;
  const callOptions = { timeoutMs: timing.storeWaitMs };
  return {
    /** Stores a result; throws when the object store does not accept a large one. */
    async save(name: string, { status, contentType, body }: CallResult): Promise<StoredResult> {
      if (body.length <= MAX_INLINE_RESULT_BYTES) {
        return { status, contentType, bodyBase64: Buffer.from(body).toString("base64") };
      }
      const object = `calls/${name}`;
      await objects.put(object, body, callOptions);
      return { status, contentType, object };
    },
    async load({ status, contentType, bodyBase64, object }: StoredResult): Promise<CallResult> {
      if (object === undefined) {
        return { status, contentType, body: Buffer.from(bodyBase64 ?? "", "base64") };
      }
      const body = await objects.get(object, callOptions);
      if (body === undefined) {
        throw new MissingResultError(
          `Result object "${object}" does not exist in the object store`,
        );
      }
      return { status, contentType, body };
    },
    async remove({ object }: StoredResult): Promise<void> {
      if (object !== undefined) await objects.delete(object, callOptions);
    },
  };
}

/** Storage of results. */
export type ResultStore = ReturnType<typeof createResultStore>;
