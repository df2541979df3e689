import { EventEmitter } from "node:events";
import test from "ava";
import type { MemoryBudget } from "@jaypass/client_limits";
import { createPlainHandler } from "./create_plain_handler.ts";
import type { ReceivedAnswer } from "./attempt.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Passes on an answer in chunks of 10,000 bytes; returns what the caller got, and what stays held. */
async function passOn({ chunks, freeBytes }: { chunks: number; freeBytes: number }) {
  let heldBytes = 0;
  const memory: MemoryBudget = {
    tryReserve(bytes) {
      if (heldBytes + bytes > freeBytes) return false;
      heldBytes += bytes;
      return true;
    },
    release: (bytes) => void (heldBytes -= bytes),
  };
  const written: Buffer[] = [];
  const write = (bytes?: Buffer) => void (bytes !== undefined && written.push(bytes));
  const res = Object.assign(new EventEmitter(), {
    writableLength: 0,
    writeHead() {},
    write,
    end: write,
  });
  const context = { codec: { writeCallerAnswer: () => [] } } as unknown as ForwardingContext;
  const request = {
    res,
    route: { kind: "idempotent" },
    answerMemory: { body: memory },
    shouldClose: () => false,
  } as unknown as CallerRequest;
  const bodyParts = Array.from({ length: chunks }, (_, at) => Buffer.alloc(10_000, at + 1));
  const body = async function* () {
    for (const part of bodyParts) yield await Promise.resolve(part);
  };
  const received = {
    answer: { status: 200, headers: [], body: body() },
    metadata: { isSealed: true },
    onChunk() {},
    run: { claim: () => true, hasOther: () => false },
  } as unknown as ReceivedAnswer;
  const handler = createPlainHandler(context, request);
  const { outcome } = await handler.handle(received);
  const isWhole = Buffer.concat(written).equals(Buffer.concat(bodyParts));
  return { outcome, isWhole, heldBytes, writes: written.length };
}

// Guards against answers that lose bytes, or memory, when the host has no room to keep them.
test("an answer for which the host has no memory is passed on whole as it arrives", async (t) => {
  const result = await passOn({ chunks: 5, freeBytes: 25_000 });
  t.deepEqual(result, { outcome: "answered", isWhole: true, heldBytes: 0, writes: 4 });
});

test("an answer that fits is sent whole, and held until its request has ended", async (t) => {
  const result = await passOn({ chunks: 5, freeBytes: 50_000 });
  t.deepEqual(result, { outcome: "answered", isWhole: true, heldBytes: 50_000, writes: 1 });
});
