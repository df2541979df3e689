import test from "ava";
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
