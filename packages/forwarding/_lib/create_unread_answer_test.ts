import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import test from "ava";
import { CONNECTION_COST_BYTES, createMemoryAccount } from "@jaypass/client_limits";
import { CALLER_BUFFER_BYTES } from "../constants.ts";
import { createUnreadAnswer } from "./create_unread_answer.ts";

function setUp({ readsOn }: { readsOn: boolean }) {
  const answer = Object.assign(new EventEmitter(), { writableLength: 0 });
  const account = createMemoryAccount(2_000_000 + CONNECTION_COST_BYTES);
  const holder = account.open(() => {});
  const unread = createUnreadAnswer(answer as unknown as ServerResponse, { holder, readsOn });
  const heldBytes = () => account.heldBytes() - CONNECTION_COST_BYTES;
  return { answer, unread, heldBytes };
}

const { signal } = new AbortController();

test("what a caller has not read is counted until it is read or its connection closes", (t) => {
  const { answer, unread, heldBytes } = setUp({ readsOn: false });
  answer.writableLength = 70_000;
  unread.count();
  t.is(heldBytes(), 70_000);
  answer.writableLength = 20_000;
  answer.emit("drain");
  t.is(heldBytes(), 20_000);
  answer.emit("close");
  t.is(heldBytes(), 0);
});

test("a server waits for its caller beyond the buffer unless the host reads on", async (t) => {
  const { answer, unread } = setUp({ readsOn: false });
  answer.writableLength = CALLER_BUFFER_BYTES + 1;
  let isDone = false;
  const waiting = unread.waitForRoom(signal).then(() => isDone = true);
  await new Promise(setImmediate);
  t.false(isDone);
  answer.emit("drain");
  await waiting;
  const reading = setUp({ readsOn: true });
  reading.answer.writableLength = 600_000;
  reading.unread.count();
  await t.notThrowsAsync(reading.unread.waitForRoom(signal));
});

test("beyond the bound a caller that reads is waited for, and one that does not is cut off", async (t) => {
  const { answer, unread } = setUp({ readsOn: true });
  answer.writableLength = 800_000;
  unread.count();
  const reader = setInterval(() => answer.writableLength -= 1_000, 10);
  await t.notThrowsAsync(unread.waitForRoom(signal));
  clearInterval(reader);
  answer.writableLength = 800_000;
  unread.count();
  await t.throwsAsync(unread.waitForRoom(signal), { message: /does not read/ });
});
