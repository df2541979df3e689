import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { SILENCE_TOLERANCE_MS } from "./constants.ts";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour, TestHost } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

/** Time that the placement on the second server takes. */
const SEARCH_MS = 1_500;

/** A time at which the other server is being searched. */
const DURING_SEARCH_MS = SILENCE_TOLERANCE_MS + 300;

const silent: ServerBehaviour = () => {};
const answer: ServerBehaviour = (_req, res) =>
  void res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("id: 1\ndata: x\n\n");

const ENDS: Record<string, { call?: CallOptions; end?: (host: TestHost) => void; status: number }> =
  {
    "its caller leaves": { call: { leaveAfterMs: DURING_SEARCH_MS }, status: 0 },
    "its deadline passes": { call: { deadlineMs: DURING_SEARCH_MS }, status: 504 },
    "its host exits": { end: (host) => host.beginExit(), status: 502 },
  };
for (const [name, { call, end, status }] of Object.entries(ENDS)) {
  test(`no job is left and nothing is sent if ${name} while another server is searched`, async (t) => {
    let placements = 0;
    const host = await createTestHost([silent, answer], {
      async place() {
        const at = placements++;
        if (at > 0) await wait(SEARCH_MS);
        const serverId = String(at);
        return { kind: "placed", serverId, helperIds: [], tickets: [], partMs: 0, expectedMs: 10 };
      },
    });
    t.teardown(() => host.close());
    const result = host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 8_000, ...call });
    await wait(DURING_SEARCH_MS);
    end?.(host);
    t.is((await result).status, status);
    await wait(2 * SEARCH_MS);
    t.is(placements, 2);
    t.deepEqual(host.outcomes, ["cancelled", "cancelled"]);
    t.is(host.arrivals.length, 1);
    t.is(host.size(), 0);
  });
}
