import { EventEmitter, once } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const SEALED = { Attempt: "a1", Seal: "s" };

const answer = (headers: Record<string, string> = {}): ServerBehaviour => (_req, res) => {
  res.writeHead(200, { ...SEALED, ...headers }).end("done");
};

const leave = answer({ Leaving: "1" });

const refuse = (headers: Record<string, string>): ServerBehaviour => (_req, res) => {
  res.writeHead(503, { Attempt: "a1", "Not-Run": "1", ...headers }).end();
};

const place = (serverId: string, helperIds: string[] = []): PlacementDecision => ({
  kind: "placed",
  serverId,
  helperIds,
  tickets: helperIds.map((id) => ({ serverId: id, tokens: 1 })),
  partMs: 0,
  expectedMs: 10,
});

/** Places a job on the first server that it does not exclude. */
const placeFirst = (count: number) => (job: PlacementJob): PlacementDecision => {
  const ids = Array.from({ length: count }, (_, at) => String(at));
  const free = ids.find((id) => !job.excludedIds.includes(id));
  return free === undefined
    ? { kind: "refused", reason: "no_server", retryAfterMs: 250 }
    : place(free);
};

async function setUp(
  t: ExecutionContext,
  behaviours: ServerBehaviour[],
  options: TestHostOptions = {},
) {
  const host = await createTestHost(behaviours, {
    place: placeFirst(behaviours.length),
    ...options,
  });
  t.teardown(() => host.close());
  return host;
}

const serversOf = (host: TestHost) => host.arrivals.map(({ server }) => server);

// Guards against requests to a server that leaves while the directory still lists it as ready.
test("a server that states that it leaves gets no further requests", async (t) => {
  const host = await setUp(t, [leave, answer()]);
  for (let count = 0; count < 4; count++) t.is((await host.call()).status, 200);
  t.deepEqual(serversOf(host), [0, 1, 1, 1]);
  t.is(host.counters["server_notice leaving"], 1);
});

test("a server that refuses a request because it leaves gets no further requests", async (t) => {
  const host = await setUp(t, [refuse({ Leaving: "1" }), answer()], { maxAttempts: 2 });
  for (let count = 0; count < 3; count++) t.is((await host.call()).status, 200);
  t.deepEqual(serversOf(host), [0, 1, 1, 1]);
});

// Guards against the hub's decision for a request that was placed before the host heard.
test("a placement on a server that has stated meanwhile that it leaves is made again", async (t) => {
  const events = new EventEmitter();
  const host = await setUp(t, [leave, answer()], {
    async place(job) {
      if (!job.isRepeatable && job.excludedIds.length === 0) {
        setImmediate(() => events.emit("placing"));
        await once(events, "heard");
      }
      return placeFirst(2)(job);
    },
  });
  const placing = once(events, "placing");
  const second = host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
  await placing;
  t.is((await host.call()).status, 200);
  events.emit("heard");
  t.is((await second).status, 200);
  t.deepEqual(serversOf(host), [0, 1]);
  t.deepEqual(host.outcomes, ["answered", "cancelled", "answered"]);
  t.is(host.counters.diversion, 1);
});

// Guards against a placer that chooses the same server again and again.
test("a request whose placements all name a leaving server is refused", async (t) => {
  const host = await setUp(t, [leave], { place: () => place("0") });
  t.is((await host.call()).status, 200);
  const { status, body } = await host.call();
  t.deepEqual([status, body], [503, '{"error":"no_server"}']);
  t.deepEqual(serversOf(host), [0]);
});

// Guards against a helper that is named to an engine, and read from, after it has left.
test("a prompt whose helper states that it leaves during the reservation is placed again", async (t) => {
  let placements = 0;
  const events = new EventEmitter();
  const reserving = once(events, "reserving");
  const host = await setUp(t, [answer(), leave], {
    reservationMs: 0,
    async canReserve() {
      setImmediate(() => events.emit("reserving"));
      await once(events, "heard");
      return true;
    },
    place(job) {
      placements += 1;
      if (placements === 2) return place("1");
      return job.excludedIds.includes("1") ? place("0") : place("0", ["1"]);
    },
  });
  const prompt = host.call();
  await reserving;
  t.is((await host.call()).status, 200);
  events.emit("heard");
  t.is((await prompt).status, 200);
  t.deepEqual(serversOf(host), [1, 0]);
  t.is(host.releaseCount(), 1);
  t.is(placements, 3);
});

// Guards against the resumption of a stream at a server that leaves.
test("an interrupted stream is not resumed at a server that leaves", async (t) => {
  const events = new EventEmitter();
  const begun = once(events, "begun");
  const interrupt: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).write("id: 1\ndata: x\n\n", () => events.emit("begun"));
    events.once("heard", () => resetConnection(res));
  };
  const resume: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).end("id: 2\ndata: x\n\n");
  };
  const host = await setUp(t, [interrupt, leave, resume], {
    place: (job) =>
      job.excludedIds.length === 0 && job.isRepeatable && job.pauseGoalMs === 0
        ? place("1")
        : placeFirst(3)(job),
  });
  const stream = host.call({ kind: ROUTE_KIND.STREAMING });
  await begun;
  t.is((await host.call()).status, 200);
  events.emit("heard");
  t.deepEqual((await stream).body.match(/id: \d/g), ["id: 1", "id: 2"]);
  t.deepEqual(serversOf(host), [0, 1, 2]);
});

// Guards against a running stream that is cut off because its server leaves.
test("a stream that has begun at a server that leaves goes on", async (t) => {
  const stream: ServerBehaviour = async (_req, res) => {
    res.writeHead(200, { ...SEALED, Leaving: "1" });
    for (let id = 1; id <= 3; id++) {
      res.write(`id: ${id}\ndata: x\n\n`);
      await wait(20);
    }
    res.end();
  };
  const host = await setUp(t, [stream, answer()]);
  const { body, isComplete } = await host.call({ kind: ROUTE_KIND.STREAMING });
  t.deepEqual([body.match(/id: \d/g)?.length, isComplete, serversOf(host)], [3, true, [0]]);
});

// Guards against a statement that was made to another request, whose server is not known.
test("an answer to another attempt does not state that the server leaves", async (t) => {
  let count = 0;
  const host = await setUp(t, [(req, res, body) => {
    count += 1;
    if (count > 1) return answer()(req, res, body);
    res.writeHead(200, { Attempt: "other", Seal: "s", Leaving: "1" }).end();
  }], { maxAttempts: 1 });
  t.is((await host.call()).status, 502);
  t.is((await host.call()).status, 200);
});

// Guards against requests to a server in the time for which it wants none, and after its end against
// a server that stays unused.
test("a server that refuses with a pause gets no requests until the end of it", async (t) => {
  let isRefusing = true;
  const host = await setUp(t, [
    (req, res, body) => (isRefusing ? refuse({ "Pause-Ms": "300" }) : answer())(req, res, body),
    answer(),
  ], { maxAttempts: 2 });
  const startMs = performance.now();
  while (performance.now() - startMs < 250) t.is((await host.call()).status, 200);
  t.is(serversOf(host).filter((server) => server === 0).length, 1);
  isRefusing = false;
  await wait(400);
  t.is((await host.call()).status, 200);
  t.is(serversOf(host).at(-1), 0);
});

// Guards against callers that wait for, or all return too early to, servers that want no requests.
test("a request that no server wants is refused at once, with the end of the pause", async (t) => {
  const host = await setUp(t, [refuse({ "Pause-Ms": "4000" }), refuse({ "Pause-Ms": "9000" })], {
    maxAttempts: 2,
  });
  // Both servers refuse the first request, which learns of the pauses by that.
  t.is((await host.call()).body, '{"error":"servers_paused"}');
  const startMs = performance.now();
  const { status, body, retryAfter } = await host.call();
  t.true(performance.now() - startMs < 500);
  t.deepEqual([status, body], [503, '{"error":"servers_paused"}']);
  // The random number of the test host is 0.5, half of the spread of 2 s.
  t.true(Number(retryAfter) > 4 && Number(retryAfter) <= 5, retryAfter);
  t.is(host.arrivals.length, 2);
  t.is(host.counters["refusal servers_paused"], 2);
});

// Guards against a caller that returns after 0.3 s to a service whose only server wants nothing for
// seconds.
test("a request that the only server refuses with a pause is refused with the end of the pause", async (t) => {
  const host = await setUp(t, [refuse({ "Pause-Ms": "4000" })], { maxAttempts: 1 });
  const { status, body, retryAfter } = await host.call();
  t.deepEqual([status, body], [503, '{"error":"servers_paused"}']);
  t.true(Number(retryAfter) > 4 && Number(retryAfter) <= 6, retryAfter);
});

// Guards against callers that are kept away from a server that takes requests.
test("a request that one of two servers refuses with a pause does not name the end of it", async (t) => {
  const host = await setUp(t, [refuse({ "Pause-Ms": "4000" }), answer()], { maxAttempts: 1 });
  const { body, retryAfter } = await host.call();
  t.deepEqual([body, retryAfter], ['{"error":"server_rejected"}', "0.3"]);
});

// Guards against a retry delay for a time at which no server takes requests either.
test("a request whose servers all leave does not name the end of a pause", async (t) => {
  const host = await setUp(t, [refuse({ Leaving: "1" })], { maxAttempts: 1 });
  await host.call();
  const { body, retryAfter } = await host.call();
  t.deepEqual([body, retryAfter], ['{"error":"no_server"}', "0.25"]);
});
