import type { ServerResponse } from "node:http";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

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
