import test from "ava";
import { MissingResultError } from "../errors.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { readStatus } from "./read_status.ts";
import { recordKey } from "./record_key.ts";

const CALL = { workspace: "w", service: "s", key: "k" };

/** Creates a record with a deleted result; the record itself exists for a number of reads. */
function createContext(readsUntilGone: number) {
  let reads = 0;
  const row = {
    key: recordKey(CALL),
    value: { state: "done", attempt: 1, owner: { host: "h1" }, result: {} },
  };
  return {
    table: { read: () => Promise.resolve(++reads > readsUntilGone ? undefined : row) },
    results: { load: () => Promise.reject(new MissingResultError("Object is missing")) },
    timing: { storeTimeoutMs: 100 },
  } as unknown as LedgerContext;
}

test("a record that is deleted between two reads is reported as absent", async (t) => {
  t.is((await readStatus(CALL, createContext(1))).state, "absent");
});

test("a result that stays missing causes an error", async (t) => {
  const context = createContext(Infinity);
  await t.throwsAsync(readStatus(CALL, context), { instanceOf: MissingResultError });
});
