import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { UNREAD_BODY_IDLE_MS } from "./constants.ts";

/** Time in which what was sent has arrived. */
const ARRIVAL_MS = 50;

const FIELDS = "Host: a.example\r\nAttempt: a1\r\n";

const answer: ServerBehaviour = (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole");
};

/**
 * Sends pieces on one connection, waits after each, and returns what the caller can read afterwards,
 * which is an error if the connection was reset.
 */
async function sendPieces(t: ExecutionContext, pieces: readonly string[]): Promise<string> {
  const host = await createTestHost([answer]);
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip);
  t.teardown(() => socket.destroy());
  let error: Error | undefined;
  socket.on("error", (err) => error = err);
  await once(socket, "connect");
  for (const piece of pieces) {
    socket.write(piece);
    await wait(ARRIVAL_MS);
  }
  let text = "";
  socket.setEncoding("utf8").on("data", (chunk: string) => text += chunk);
  await wait(2 * ARRIVAL_MS);
  return error === undefined ? text : error.message;
}

const REFUSALS: Record<string, [head: string, status: string]> = {
  "an unknown route": [`POST /none/ HTTP/1.1\r\n${FIELDS}Key: k1\r\n`, "404"],
  "an unknown key": [`POST /idempotent/1 HTTP/1.1\r\n${FIELDS}Key: gone\r\n`, "401"],
};
for (const [name, [head, status]] of Object.entries(REFUSALS)) {
  test(`a caller that still sends its body gets the refusal of ${name}`, async (t) => {
    const piece = "x".repeat(20_000);
    const text = await sendPieces(t, [`${head}Content-Length: 60000\r\n\r\n`, piece, piece, piece]);
    t.regex(text, new RegExp(`^HTTP/1.1 ${status} [^]*unknown_`));
  });
}

test("a caller that still sends a chunked body over the limit gets the refusal", async (t) => {
  const chunk = `61a80\r\n${"x".repeat(400_000)}\r\n`;
  const head =
    `POST /idempotent/1 HTTP/1.1\r\n${FIELDS}Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const text = await sendPieces(t, [head, chunk, chunk, chunk, chunk, "0\r\n\r\n"]);
  t.regex(text, /^HTTP\/1.1 413 [^]*body_too_large/);
});

test("a request behind a refused one whose body arrives late is answered", async (t) => {
  const fields = `${FIELDS}Key: k1\r\nContent-Length: 4\r\n\r\n`;
  const text = await sendPieces(t, [
    `POST /none/ HTTP/1.1\r\n${fields}ab`,
    `cdPOST /idempotent/1 HTTP/1.1\r\n${fields}abcd`,
  ]);
  t.deepEqual(text.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 404", "HTTP/1.1 200"]);
});

test("the connection is closed if the body of a refused request does not go on", async (t) => {
  const host = await createTestHost([answer]);
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip);
  socket.resume().on("error", () => {});
  socket.write(`POST /none/ HTTP/1.1\r\n${FIELDS}Content-Length: 4\r\n\r\nab`);
  await once(socket, "close");
  await wait(ARRIVAL_MS);
  t.is(host.size(), 0);
});

test("a request is answered before its connection is closed for an unread body behind it", async (t) => {
  const host = await createTestHost([
    (_req, res) =>
      void setTimeout(
        () => res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole"),
        2 * UNREAD_BODY_IDLE_MS,
      ),
  ]);
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip);
  let text = "";
  socket.setEncoding("utf8").on("data", (chunk: string) => text += chunk).on("error", () => {});
  const fields = `${FIELDS}Key: k1\r\nContent-Length: 4\r\n\r\n`;
  socket.write(
    `POST /non_idempotent/1 HTTP/1.1\r\n${fields}abcdPOST /none/ HTTP/1.1\r\n${fields}ab`,
  );
  await once(socket, "close");
  t.deepEqual(text.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 200", "HTTP/1.1 404"]);
  await wait(ARRIVAL_MS);
  t.is(host.size(), 0);
});
