import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { SILENCE_TOLERANCE_MS } from "./constants.ts";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour, TestHost } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

/** A time at which the other server is being searched, also on a busy machine. */
const DURING_SEARCH_MS = SILENCE_TOLERANCE_MS + 3_000;

/** Time after the end of a search in which a job would be left or a request sent. */
const AFTER_SEARCH_MS = 1_500;

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
    let endSearch = () => {};
    const searched = new Promise<void>((resolve) => endSearch = resolve);
    const host = await createTestHost([silent, answer], {
      timeoutMs: 20_000,
      async place() {
        const at = placements++;
        if (at > 0) await searched;
        const serverId = String(at);
        return { kind: "placed", serverId, helperIds: [], tickets: [], partMs: 0, expectedMs: 10 };
      },
    });
    t.teardown(() => host.close());
    const result = host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 20_000, ...call });
    await wait(DURING_SEARCH_MS);
    end?.(host);
    t.is((await result).status, status);
    endSearch();
    await wait(AFTER_SEARCH_MS);
    t.is(placements, 2);
    t.deepEqual(host.outcomes, ["cancelled", "cancelled"]);
    t.is(host.arrivals.length, 1);
    t.is(host.size(), 0);
  });
}
