import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import test from "ava";
import { readBody } from "./read_body.ts";

// Others may need the memory between the end of a body and its use.
test("a body that has ended is not given up", async (t) => {
  const req = Object.assign(new PassThrough(), { headers: {} });
  let giveUp: (() => void) | undefined;
  const memory = {
    tryReserve: () => true,
    release: () => {},
    setGiveUp: (next: (() => void) | undefined) => void (giveUp = next),
  };
  const body = readBody(req as unknown as IncomingMessage, { maxBytes: 100, memory });
  req.once("end", () => process.nextTick(() => giveUp?.()));
  req.end("body");
  t.is(String(await body), "body");
});
