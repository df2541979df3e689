import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

/** Time that a request takes at its server. */
const CALL_MS = 5_000;

const slow: ServerBehaviour = async (_req, res) => {
  await wait(CALL_MS);
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole");
};

const post = (kind: string) =>
  `POST /${kind}/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 0\r\n\r\n`;

async function waitFor(condition: () => boolean, timeoutMs: number): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!condition() && performance.now() < endMs) await wait(10);
}

async function connectTo(t: ExecutionContext, host: TestHost): Promise<Socket> {
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip).on("error", () => {});
  t.teardown(() => socket.destroy());
  await once(socket, "connect");
  return socket;
}

for (const kind of Object.values(ROUTE_KIND)) {
  test(`requests (${kind}) behind each other whose caller leaves are cancelled and not kept`, async (t) => {
    const host = await createTestHost([slow], { timeoutMs: 4 * CALL_MS });
    const socket = await connectTo(t, host);
    socket.write(post(kind).repeat(3));
    await waitFor(() => host.arrivals.length === 3, CALL_MS);
    socket.destroy();
    await waitFor(() => host.size() === 0, CALL_MS / 2);
    t.is(host.size(), 0);
    t.deepEqual(host.outcomes, ["cancelled", "cancelled", "cancelled"]);
  });
}
