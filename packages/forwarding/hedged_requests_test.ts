import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import { createHedging } from "./create_hedging.ts";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const HEAD = { Attempt: "a1", Seal: "s" };
const USUAL_MS = 40;

/** Time that a slow server needs, far below the silence after which it counts as faulty. */
const SLOW_MS = 500;

const bodyOf = (text: string) => `id: 1\ndata: ${text}\n\n`;
const answer = (delayMs: number, text: string): ServerBehaviour => async (_req, res) => {
  await wait(delayMs);
  if (!res.destroyed) res.writeHead(200, HEAD).end(bodyOf(text));
};

/** Starts a host that knows what is usual, with one hedge in its budget. */
async function startHost(
  t: ExecutionContext,
  servers: ServerBehaviour[],
  { maxShare = 1, maxWorkShare = 1, maxAttempts = 2, isRefused = false } = {},
) {
  const clock = { nowMs: () => performance.now() };
  const hedging = createHedging({
    clock,
    limits: () => ({ maxShare, maxWorkShare, quantile: 0.9 }),
  });
  for (const route of Object.values(ROUTE_KIND)) {
    const kind = { route, promptTokens: 0 };
    while (maxShare > 0 && hedging.findUsualMs(kind) === undefined) {
      hedging.recordFirstByte(kind, USUAL_MS);
      await new Promise(setImmediate);
    }
  }
  hedging.countRequest("s");
  hedging.countWork("s", SLOW_MS);
  const jobs: PlacementJob[] = [];
  const place = (job: PlacementJob): PlacementDecision => {
    jobs.push(job);
    if (isRefused && job.isHedge) {
      return { kind: "refused", reason: "no_spare_room", retryAfterMs: 0 };
    }
    const serverId = String(job.excludedIds.length);
    return { kind: "placed", serverId, helperIds: [], tickets: [], partMs: 0, expectedMs: 10 };
  };
  const host = await createTestHost(servers, { hedging, maxAttempts, place });
  t.teardown(() => host.close());
  const hedgeCounts = () =>
    ["started", "won", "lost", "denied"].map((result) => host.counters[`hedge ${result}`] ?? 0);
  return { host, jobs, hedgeCounts };
}

for (const kind of [ROUTE_KIND.IDEMPOTENT, ROUTE_KIND.STREAMING]) {
  test(`${kind}: the hedge of a slow request wins, and the slow run gives its slot back at once`, async (t) => {
    let closedMs = Infinity;
    const slow: ServerBehaviour = (_req, res) =>
      void res.on("close", () => closedMs = performance.now());
    const { host, jobs, hedgeCounts } = await startHost(t, [slow, answer(0, "second")]);
    t.is((await host.call({ kind })).body, bodyOf("second"));
    const answeredMs = performance.now();
    t.like(jobs, [{ isRetry: false, isHedge: undefined }, { isRetry: true, isHedge: true }]);
    // The server is merely slow, so that placement must not avoid it.
    t.deepEqual(host.outcomes, ["cancelled", "answered"]);
    while (closedMs === Infinity) await wait(5);
    t.true(closedMs - answeredMs < 300);
    t.deepEqual(hedgeCounts(), [1, 1, 0, 0]);
    const lines = host.lines.filter(({ message }) => message.startsWith("Hedge"));
    t.like(lines.map(({ fields }) => fields), [{ result: "won", server: "0", other: "1" }]);
  });

  // Guards against a request that fails because its hedge did.
  const losers: Record<string, ServerBehaviour> = {
    "is later": () => {},
    dies: (_req, res) => resetConnection(res),
    fails: (_req, res) => void res.writeHead(500, HEAD).end("failed"),
    rejects: (_req, res) => void res.writeHead(503, { ...HEAD, "Not-Run": "1" }).end(),
  };
  for (const [name, second] of Object.entries(losers)) {
    test(`${kind}: if the server of a hedge ${name}, the first one answers`, async (t) => {
      const { host, hedgeCounts } = await startHost(t, [answer(SLOW_MS, "first"), second]);
      t.is((await host.call({ kind })).body, bodyOf("first"));
      t.deepEqual([host.arrivals.length, host.outcomes.at(-1)], [2, "answered"]);
      t.deepEqual(hedgeCounts(), [1, 0, 1, 0]);
    });
  }

  test(`${kind}: if the first server dies while a hedge runs, the hedge answers`, async (t) => {
    const dying: ServerBehaviour = (_req, res) =>
      void setTimeout(() => resetConnection(res), SLOW_MS);
    const { host, hedgeCounts } = await startHost(t, [dying, answer(2 * SLOW_MS, "second")]);
    t.is((await host.call({ kind })).body, bodyOf("second"));
    t.deepEqual([host.outcomes, hedgeCounts()], [["broken", "answered"], [1, 1, 0, 0]]);
  });
}

// Guards against second runs where the rules allow none.
const UNHEDGED: Record<
  string,
  [Parameters<typeof startHost>[2], kind?: typeof ROUTE_KIND.NON_IDEMPOTENT]
> = {
  "may run only once": [{}, ROUTE_KIND.NON_IDEMPOTENT],
  "has no attempt left": [{ maxAttempts: 1 }],
  "comes while hedges are off": [{ maxShare: 0 }],
  "is over the budget": [{ maxWorkShare: 0 }],
  "is refused by placement": [{ isRefused: true }],
};
for (const [name, [options, kind]] of Object.entries(UNHEDGED)) {
  test(`a slow request that ${name} is not hedged`, async (t) => {
    const servers = [answer(SLOW_MS, "first"), answer(0, "second")];
    const { host, hedgeCounts } = await startHost(t, servers, options);
    t.is((await host.call({ kind })).body, bodyOf("first"));
    const isDenied = options?.isRefused || options?.maxWorkShare === 0;
    t.deepEqual([host.outcomes, hedgeCounts()], [["answered"], [0, 0, 0, isDenied ? 1 : 0]]);
  });
}

// Guards against work for callers that do not read what they have got already.
test("a slow request whose caller has not got an earlier answer is not hedged", async (t) => {
  const { host } = await startHost(t, [answer(SLOW_MS, "first"), answer(0, "second")]);
  const [ip, port] = host.address.split(":");
  const socket = connect(Number(port), ip);
  t.teardown(() => void socket.destroy());
  const fields = "Host: a.example\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 0\r\n\r\n";
  for (const kind of ["non_idempotent", "idempotent"]) {
    socket.write(`POST /${kind}/1 HTTP/1.1\r\n${fields}`);
  }
  let text = "";
  for await (const chunk of socket.setEncoding("utf8")) {
    text += chunk;
    if (text.split("HTTP/1.1 200").length === 3) break;
  }
  t.deepEqual(host.arrivals.map(({ server }) => server), [0, 0]);
});
