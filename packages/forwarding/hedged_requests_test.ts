import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import { createHedging } from "./create_hedging.ts";
import type { HedgeLimits } from "./create_hedging.ts";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const HEAD = { Attempt: "a1", Seal: "s" };

/** Time that requests of the tests usually need. */
const USUAL_MS = 40;

/** Time that a slow server needs, far below the silence after which it counts as faulty. */
const SLOW_MS = 500;

const LIMITS: HedgeLimits = { maxShare: 1, maxWorkShare: 1, quantile: 0.9 };

const answer = (delayMs: number, body: string): ServerBehaviour => async (_req, res) => {
  await wait(delayMs);
  if (!res.destroyed) res.writeHead(200, HEAD).end(`id: 1\ndata: ${body}\n\n`);
};
const bodyOf = (text: string) => `id: 1\ndata: ${text}\n\n`;

/** Starts a host that knows what is usual, with one hedge in its budget. */
async function startHost(
  t: ExecutionContext,
  servers: ServerBehaviour[],
  { limits = LIMITS, place = placeInOrder, maxAttempts = 2 }: {
    limits?: HedgeLimits | undefined;
    place?: (job: PlacementJob) => PlacementDecision;
    maxAttempts?: number;
  } = {},
) {
  const hedging = createHedging({
    clock: { nowMs: () => performance.now() },
    limits: () => limits,
  });
  for (const route of Object.values(ROUTE_KIND)) {
    const kind = { route, promptTokens: 0 };
    while (limits.maxShare > 0 && hedging.findUsualMs(kind) === undefined) {
      hedging.recordFirstByte(kind, USUAL_MS);
      await new Promise(setImmediate);
    }
  }
  hedging.countRequest("s");
  hedging.countWork("s", SLOW_MS);
  const jobs: PlacementJob[] = [];
  const host = await createTestHost(servers, {
    hedging,
    maxAttempts,
    place(job) {
      jobs.push(job);
      return place(job);
    },
  });
  t.teardown(() => host.close());
  return { host, jobs };
}

function placeInOrder(job: PlacementJob): PlacementDecision {
  return {
    kind: "placed",
    serverId: String(job.excludedIds.length),
    helperIds: [],
    tickets: [],
    partMs: 0,
    expectedMs: 10,
  };
}

for (const kind of [ROUTE_KIND.IDEMPOTENT, ROUTE_KIND.STREAMING]) {
  test(`${kind}: the hedge of a slow request wins, and the slow run gives its slot back at once`, async (t) => {
    let slowClosedMs: number | undefined;
    const slow: ServerBehaviour = (_req, res) =>
      void res.on("close", () => slowClosedMs = performance.now());
    const { host, jobs } = await startHost(t, [slow, answer(0, "second")]);
    const { status, body } = await host.call({ kind });
    const answeredMs = performance.now();
    t.deepEqual([status, body], [200, bodyOf("second")]);
    t.deepEqual(jobs.map(({ isRetry, isHedge }) => [isRetry, isHedge]), [[false, undefined], [
      true,
      true,
    ]]);
    // The server is merely slow, so that placement must not avoid it.
    t.deepEqual(host.outcomes, ["cancelled", "answered"]);
    while (slowClosedMs === undefined) await wait(5);
    t.true(slowClosedMs - answeredMs < 300);
    t.deepEqual([host.counters["hedge started"], host.counters["hedge won"]], [1, 1]);
    const lines = host.lines.filter(({ message }) => message === "Hedge of a slow request ended");
    t.like(lines[0]?.fields, { result: "won", server: "0", other: "1" });
    t.is(lines.length, 1);
  });

  test(`${kind}: a first run that answers before its hedge wins`, async (t) => {
    const { host } = await startHost(t, [answer(SLOW_MS, "first"), () => {}]);
    t.is((await host.call({ kind })).body, bodyOf("first"));
    t.deepEqual(host.outcomes, ["cancelled", "answered"]);
    t.deepEqual([host.counters["hedge started"], host.counters["hedge lost"]], [1, 1]);
    t.is(host.counters["silent_server answer first_won"], undefined);
  });

  // Guards against a request that fails because its hedge did.
  for (
    const [name, second] of Object.entries<ServerBehaviour>({
      dies: (_req, res) => resetConnection(res),
      fails: (_req, res) => void res.writeHead(500, HEAD).end("failed"),
      rejects: (_req, res) => void res.writeHead(503, { ...HEAD, "Not-Run": "1" }).end(),
    })
  ) {
    test(`${kind}: if the server of a hedge ${name}, the first one answers`, async (t) => {
      const { host } = await startHost(t, [answer(SLOW_MS, "first"), second]);
      const { status, body } = await host.call({ kind });
      t.deepEqual([status, body, host.arrivals.length], [200, bodyOf("first"), 2]);
      t.is(host.outcomes.at(-1), "answered");
      t.deepEqual([host.counters["hedge lost"], host.counters["hedge won"]], [1, undefined]);
    });
  }

  test(`${kind}: if the first server dies while a hedge runs, the hedge answers`, async (t) => {
    const dying: ServerBehaviour = async (_req, res) => {
      await wait(SLOW_MS);
      resetConnection(res);
    };
    const { host } = await startHost(t, [dying, answer(2 * SLOW_MS, "second")]);
    const { status, body } = await host.call({ kind });
    t.deepEqual([status, body, host.outcomes], [200, bodyOf("second"), ["broken", "answered"]]);
    t.is(host.counters["hedge won"], 1);
  });
}

const REFUSED: PlacementDecision = {
  kind: "refused",
  reason: "no_spare_room",
  retryAfterMs: 250,
};

// Guards against second runs where the rules allow none.
const UNHEDGED: Record<
  string,
  { call?: CallOptions; options?: Parameters<typeof startHost>[2]; denied?: number }
> = {
  "may run only once": { call: { kind: ROUTE_KIND.NON_IDEMPOTENT } },
  "has no attempt left": { options: { maxAttempts: 1 } },
  "is served while hedges are off": { options: { limits: { ...LIMITS, maxShare: 0 } } },
  "is over the budget": { options: { limits: { ...LIMITS, maxWorkShare: 0 } }, denied: 1 },
  "placement refuses": {
    options: { place: (job) => job.isHedge ? REFUSED : placeInOrder(job) },
    denied: 1,
  },
};
for (const [name, { call, options, denied }] of Object.entries(UNHEDGED)) {
  test(`a slow request that ${name} is not hedged`, async (t) => {
    const { host } = await startHost(t, [answer(SLOW_MS, "first"), answer(0, "second")], options);
    t.is((await host.call(call)).body, bodyOf("first"));
    t.deepEqual([host.arrivals.length, host.outcomes], [1, ["answered"]]);
    t.deepEqual([host.counters["hedge started"], host.counters["hedge denied"]], [
      undefined,
      denied,
    ]);
  });
}

test("a stream that pauses after its first event is not hedged", async (t) => {
  const pausing: ServerBehaviour = async (_req, res) => {
    res.writeHead(200, HEAD).write(bodyOf("first"));
    await wait(SLOW_MS);
    res.end("id: 2\ndata: last\n\n");
  };
  const { host } = await startHost(t, [pausing, answer(0, "second")]);
  const { body } = await host.call({ kind: ROUTE_KIND.STREAMING });
  t.deepEqual([body, host.arrivals.length], [`${bodyOf("first")}id: 2\ndata: last\n\n`, 1]);
});

// Guards against work for callers that do not read what they have got already.
test("a slow request whose caller has not got an earlier answer is not hedged", async (t) => {
  const { host } = await startHost(t, [answer(SLOW_MS, "first"), answer(0, "second")]);
  const [ip, port] = host.address.split(":");
  const socket = connect(Number(port), ip);
  t.teardown(() => void socket.destroy());
  const fields = "Host: a.example\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 0\r\n\r\n";
  socket.write(
    `POST /non_idempotent/1 HTTP/1.1\r\n${fields}POST /idempotent/1 HTTP/1.1\r\n${fields}`,
  );
  let text = "";
  for await (const chunk of socket.setEncoding("utf8")) {
    text += chunk;
    if (text.split("HTTP/1.1 200").length === 3) break;
  }
  t.deepEqual(host.arrivals.map(({ server }) => server), [0, 0]);
});
