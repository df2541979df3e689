import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const answer: ServerBehaviour = (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("id: 1\ndata: x\n\n");
};

for (const kind of Object.values(ROUTE_KIND)) {
  test(`a server with a port out of range does not fail a request that is ${kind}`, async (t) => {
    const host = await createTestHost([answer, answer], {
      serverAddresses: ["127.0.0.1:99999"],
    });
    t.teardown(() => host.close());
    t.is((await host.call({ kind })).status, 200);
    t.deepEqual(host.arrivals.map(({ server }) => server), [1]);
    t.deepEqual(host.outcomes, ["silent", "answered"]);
  });
}

test("a request whose servers all have a port out of range is refused as not run", async (t) => {
  const host = await createTestHost([answer], { serverAddresses: ["127.0.0.1:99999"] });
  t.teardown(() => host.close());
  const { status, body } = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
  t.deepEqual([status, body], [503, '{"error":"no_server"}']);
});

/** Sends a request as raw bytes and returns the status line. */
async function sendRaw(t: ExecutionContext, address: string, target: string, header: string) {
  const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
  t.teardown(() => socket.destroy());
  socket.write(
    `GET ${target} HTTP/1.1\r\n${header}\r\nHost: a.example\r\nKey: k1\r\nAttempt: a1\r\n\r\n`,
  );
  const [chunk] = await once(socket, "data") as [Buffer];
  return chunk.toString("latin1").split("\r\n")[0];
}

// The lenient parser passes on control bytes in a header, which the client of Node.js refuses to send.
test("bytes of a caller that cannot be forwarded are the caller's error, not a server's", async (t) => {
  const host = await createTestHost([answer, answer], {
    serverOptions: { insecureHTTPParser: true },
  });
  t.teardown(() => host.close());
  t.is(
    await sendRaw(t, host.address, "/idempotent/1", "Attempt: \x01"),
    "HTTP/1.1 400 Bad Request",
  );
  t.is(await sendRaw(t, host.address, "/idempotent/1", "a: \xff"), "HTTP/1.1 200 OK");
  t.deepEqual(host.outcomes, ["cancelled", "answered"]);
});

// The parser of Node.js finds the tab on x86-64, and its client where the parser takes it.
test("a tab in a request target is the caller's error, not a server's", async (t) => {
  const host = await createTestHost([answer, answer]);
  t.teardown(() => host.close());
  t.is(await sendRaw(t, host.address, "/idempotent/\t1", "a: b"), "HTTP/1.1 400 Bad Request");
  t.is(await sendRaw(t, host.address, "/idempotent/1", "a: \xff"), "HTTP/1.1 200 OK");
  t.deepEqual(host.outcomes.filter((outcome) => outcome !== "cancelled"), ["answered"]);
  t.true(host.outcomes.length <= 2);
});
