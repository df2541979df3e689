import type { ServerResponse } from "node:http";
import test from "ava";
import type { ExecutionContext } from "ava";
import fc from "fast-check";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";
import type { RouteKind } from "./types.ts";

const BODY = "id: 1\ndata: x\n\n";
const FIELDS = `Attempt: a1\r\nSeal: s\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;

/** Control bytes that end no line; a reason phrase must not contain any of them but the tab. */
const CONTROL_BYTES = [...Array(32).keys(), 127].filter((byte) => ![9, 10, 13].includes(byte));

/** Time within which a host ends a request that its server has answered, on a busy machine as well. */
const END_LIMIT_MS = 10_000;

/** Sends bytes in place of an answer and ends the connection. */
function sendBytes(res: ServerResponse, bytes: Uint8Array): void {
  res.socket?.on("error", () => {});
  res.socket?.end(bytes);
}

const sendText = (text: string): ServerBehaviour => (_req, res) =>
  sendBytes(res, Buffer.from(text, "latin1"));

const sound = sendText(`HTTP/1.1 200 OK\r\n${FIELDS}`);

async function startHost(
  t: ExecutionContext,
  behaviours: ServerBehaviour[],
  options: TestHostOptions = {},
): Promise<TestHost> {
  const host = await createTestHost(behaviours, options);
  t.teardown(() => host.close());
  return host;
}

/** Fails unless every request has ended and every attempt has been reported to placement. */
async function assertAllEnded(t: ExecutionContext, host: TestHost, placedCount: number) {
  const endMs = performance.now() + END_LIMIT_MS;
  while (host.size() > 0 && performance.now() < endMs) await new Promise(setImmediate);
  t.is(host.size(), 0);
  t.is(host.outcomes.length, placedCount);
}

// Guards against callers without an answer: Node.js throws for such a phrase, also in the refusal.
for (const kind of Object.values(ROUTE_KIND)) {
  test(`${kind}: an answer with a control byte in its reason phrase is passed on without it`, async (t) => {
    for (const byte of CONTROL_BYTES) {
      const phrase = `O${String.fromCharCode(byte)}`;
      const host = await startHost(t, [sendText(`HTTP/1.1 200 ${phrase}\r\n${FIELDS}`)]);
      const { status, body, isComplete } = await host.call({ kind, deadlineMs: 2_000 });
      t.deepEqual([status, body, isComplete], [200, BODY, true], `byte ${byte}`);
      t.deepEqual(host.outcomes, ["answered"], `byte ${byte}`);
      await assertAllEnded(t, host, 1);
    }
  });
}

/** Status lines and headers of answers that end no request. */
const UNUSABLE_HEADS: Record<string, string> = {
  "status 101 with an upgrade":
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
  "status 101 without an upgrade": "HTTP/1.1 101 Switching Protocols\r\n",
  "status 99": "HTTP/1.1 099 OK\r\n",
  "status 0": "HTTP/1.1 000 OK\r\n",
  "status 600": "HTTP/1.1 600 OK\r\n",
  "status 999": "HTTP/1.1 999 OK\r\n",
};

// Guards against requests without an end: Node.js reports an upgrade as a close without an error.
for (const [name, head] of Object.entries(UNUSABLE_HEADS)) {
  for (const kind of Object.values(ROUTE_KIND)) {
    test(`${kind}: a request whose server answers ${name} fails and returns its slot`, async (t) => {
      const host = await startHost(t, [sendText(head + FIELDS)], { maxAttempts: 1 });
      const { status } = await host.call({ kind, deadlineMs: 2_000 });
      t.deepEqual([status, host.outcomes], [502, ["broken"]]);
      await assertAllEnded(t, host, 1);
    });
  }

  test(`an idempotent request whose server answers ${name} is sent to another server`, async (t) => {
    const host = await startHost(t, [sendText(head + FIELDS), sound]);
    const { status, body } = await host.call({ deadlineMs: 2_000 });
    t.deepEqual([status, body, host.outcomes], [200, BODY, ["broken", "answered"]]);
  });
}

/** Parts of answers whose order and number are not the regular ones. */
const PIECES = [
  "HTTP/1.1 ",
  "HTTP/1.0 ",
  "200",
  "101",
  "100",
  "204",
  "304",
  "500",
  "099",
  "999",
  " OK",
  "\r\n",
  "\n",
  "Connection: Upgrade\r\nUpgrade: x\r\n",
  "Connection: seal\r\n",
  "Transfer-Encoding: chunked\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Trailer: a\r\n",
  "Content-Length: 5\r\n",
  `Attempt: a1\r\nSeal: s\r\n`,
  "Attempt: a2\r\n",
  "Not-Run: 1\r\n",
  "5\r\nabcde\r\n",
  "0\r\na: b\r\n\r\n",
  FIELDS,
  BODY,
];

/** Bytes of a sound answer with some of them replaced, and answers made of parts in any order. */
const anyAnswer = fc.oneof(
  fc.array(
    fc.record({ at: fc.nat(60), byte: fc.integer({ min: 0, max: 255 }) }),
    { minLength: 1, maxLength: 3 },
  ).map((changes) => {
    const bytes = Buffer.from(`HTTP/1.1 200 OK\r\n${FIELDS}`);
    for (const { at, byte } of changes) bytes[at] = byte;
    return bytes;
  }),
  fc.array(fc.constantFrom(...PIECES), { maxLength: 12 }).map((parts) =>
    Buffer.from(`HTTP/1.1 ${parts.join("")}`)
  ),
  fc.uint8Array({ maxLength: 200 }),
);

test("any bytes of a server end each request with an answer or a closed connection", async (t) => {
  t.timeout(120_000);
  let bytes: Uint8Array = new Uint8Array();
  let placedCount = 0;
  const sendAny: ServerBehaviour = (_req, res) => sendBytes(res, bytes);
  const host = await startHost(t, [sendAny], { maxAttempts: 1 });
  const property = fc.asyncProperty(
    anyAnswer,
    fc.constantFrom<RouteKind>(...Object.values(ROUTE_KIND)),
    async (answer, kind) => {
      bytes = answer;
      placedCount += 1;
      const startMs = performance.now();
      const { status, isComplete } = await host.call({ kind, deadlineMs: 30_000 });
      const elapsedMs = performance.now() - startMs;
      if (elapsedMs > END_LIMIT_MS) throw new Error(`Ended after ${elapsedMs} ms`);
      if (status !== 0 && status < 200) throw new Error(`Caller got status ${status}`);
      if (status === 502 && !isComplete) throw new Error("Refusal is cut");
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: 48, numRuns: 1_500 }));
  await assertAllEnded(t, host, placedCount);
});
