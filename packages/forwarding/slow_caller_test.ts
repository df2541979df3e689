import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { SILENCE_TOLERANCE_MS } from "./constants.ts";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";

const EVENT_COUNT = 1_000;
const DATA = "x".repeat(30_000);

const stream: ServerBehaviour = (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" });
  for (let id = 1; id <= EVENT_COUNT; id++) res.write(`id: ${id}\ndata: ${DATA}\n\n`);
  res.end();
};

test("a stream whose caller reads slowly is not sent to another server", async (t) => {
  const host = await createTestHost([stream, stream]);
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip);
  t.teardown(() => socket.destroy());
  socket.pause().on("error", () => {});
  socket.write(
    "POST /streaming/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nKey: k1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
  );
  await wait(2 * SILENCE_TOLERANCE_MS);
  let length = 0;
  socket.on("data", (chunk: Buffer) => length += chunk.length).resume();
  await once(socket, "close");
  t.true(length > EVENT_COUNT * DATA.length);
  t.is(host.arrivals.length, 1);
});
