import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { MAX_BUFFERED_ANSWER_BYTES, SILENCE_TOLERANCE_MS } from "./constants.ts";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost } from "./_testing/create_test_host.ts";
import { TOKEN_ENGINE } from "./_testing/token_engine.ts";
import { ROUTE_KIND } from "./types.ts";

/** Silence after which the first server goes on, while a second one has the request. */
const SILENCE_MS = SILENCE_TOLERANCE_MS + 400;

/** Far more time than a request needs on a busy machine. */
const LONG_MS = 20_000;

const HEAD = { Attempt: "a1", Seal: "s" };

const events = (first: number, last: number) =>
  Array.from({ length: last - first + 1 }, (_, at) => `id: ${first + at}\ndata: x\n\n`).join("");

const WHOLE = events(1, 4);

/** Sends a part of the stream, is silent, and sends the rest. */
const sendInTwo = (before: string): ServerBehaviour => async (_req, res) => {
  if (before !== "") res.writeHead(200, HEAD).write(before);
  await wait(SILENCE_MS);
  if (res.destroyed) return;
  if (before === "") res.writeHead(200, HEAD);
  res.end(WHOLE.slice(before.length));
};

const SILENCES: Record<string, ServerBehaviour> = {
  "before the head": sendInTwo(""),
  "between two events": sendInTwo(events(1, 2)),
  "in an event": sendInTwo(events(1, 2) + "id: 3\nda"),
  "after the last event": sendInTwo(WHOLE),
};

const answer = (status: number, body: string, headers = {}): ServerBehaviour => (_req, res) =>
  void res.writeHead(status, { ...HEAD, ...headers }).end(body);

const SUCCESSORS: Record<string, ServerBehaviour> = {
  "goes on": (req, res) => {
    const resumeAfter = Number(req.headers["resume-after"] ?? 0);
    res.writeHead(200, HEAD).end(events(resumeAfter + 1, 4));
  },
  "goes on and repeats events": answer(200, WHOLE),
  "fails": answer(500, "failed"),
  "rejects the request": answer(503, "", { "Not-Run": "1" }),
  "is silent": () => {},
  "is silent after its head": (_req, res) => void res.writeHead(200, HEAD).flushHeaders(),
  "resets its connection": (_req, res) => resetConnection(res),
  "breaks off within an event": (_req, res) => {
    res.writeHead(200, HEAD).write("id: 1\nda", () => res.socket?.end());
  },
  "sends an answer of another request": answer(200, WHOLE, { Attempt: "other" }),
};

/** Describes how each next server leaves a request without its whole answer. */
async function listFaults(
  kind: typeof ROUTE_KIND.STREAMING | typeof ROUTE_KIND.IDEMPOTENT,
  first: ServerBehaviour,
): Promise<string[]> {
  const faults = await Promise.all(
    Object.entries(SUCCESSORS).map(async ([name, second]) => {
      const host = await createTestHost([first, second], { timeoutMs: LONG_MS });
      try {
        const { status, body, isComplete } = await host.call({ kind, deadlineMs: LONG_MS });
        const isWhole = status === 200 && body === WHOLE && isComplete;
        const sends = host.arrivals.length;
        return isWhole && sends <= 2
          ? []
          : [`${name}: ${status}, ${body.length} bytes, ${sends} sends`];
      } finally {
        await host.close();
      }
    }),
  );
  return faults.flat();
}

for (const [place, first] of Object.entries(SILENCES)) {
  test(`a stream whose server is silent for 1.8 s ${place} is whole whatever the next server does`, async (t) => {
    t.deepEqual(await listFaults(ROUTE_KIND.STREAMING, first), []);
  });
}

for (const place of ["before the head", "between two events"]) {
  const first = SILENCES[place] as ServerBehaviour;
  test(`a call whose server is silent for 1.8 s ${place} is whole whatever the next server does`, async (t) => {
    t.deepEqual(await listFaults(ROUTE_KIND.IDEMPOTENT, first), []);
  });
}

const silent: ServerBehaviour = () => {};

/** Waits until the second server has the request, or fails after far more than the silence. */
async function waitForSecondRun(host: TestHost): Promise<void> {
  for (let at = 0; at < 500 && host.arrivals.length < 2; at++) await wait(20);
}

/** Creates a server that answers once another server has the request as well. */
function createLateServer(behaviour: ServerBehaviour) {
  let host: TestHost | undefined;
  const server: ServerBehaviour = async (req, res, body) => {
    while (host === undefined) await wait(5);
    await waitForSecondRun(host);
    await wait(100);
    if (!res.destroyed) behaviour(req, res, body);
  };
  return { server, setHost: (started: TestHost) => void (host = started) };
}

/** Records when the connection of a server's request is closed. */
function recordClose(behaviour: ServerBehaviour) {
  const state = { isClosed: false };
  const server: ServerBehaviour = (req, res, body) => {
    res.on("close", () => void (state.isClosed ||= !res.writableFinished));
    behaviour(req, res, body);
  };
  return { state, server };
}

const WINNERS = {
  first_won: { answered: 0, outcomes: ["cancelled", "answered"] },
  second_won: { answered: 1, outcomes: ["silent", "answered"] },
};

for (const [result, { answered, outcomes }] of Object.entries(WINNERS)) {
  test(`${result}: the other run is cancelled and its memory is released at once`, async (t) => {
    const winner = createLateServer(answer(200, WHOLE));
    const loser = recordClose(silent);
    const servers = [loser.server, loser.server];
    servers[answered] = winner.server;
    const host = await createTestHost(servers, {
      reservationMs: 1,
      timeoutMs: LONG_MS,
      place: (job) => ({
        kind: "placed",
        serverId: job.isRetry ? "1" : "0",
        helperIds: [],
        tickets: [{ serverId: "0", tokens: 1 }],
        partMs: 0,
        // The second server is not silent for longer than expected, however busy the machine is.
        expectedMs: job.isRetry ? LONG_MS : 10,
      }),
    });
    t.teardown(() => host.close());
    winner.setHost(host);
    const { body } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: LONG_MS });
    for (let at = 0; at < 500 && !loser.state.isClosed; at++) await wait(20);
    t.deepEqual([body, loser.state.isClosed], [WHOLE, true]);
    t.deepEqual([host.releaseCount(), host.outcomes], [2, outcomes]);
    t.is(host.counters[`silent_server answer ${result}`], 1);
    const lines = host.lines.filter(({ message }) => message.startsWith("One of two runs"));
    t.deepEqual(lines.map(({ fields }) => (fields as { result: string }).result), [result]);
    t.is(host.lines.filter(({ message }) => message === "Attempt ended").length, 2);
  });
}

for (const kind of [ROUTE_KIND.STREAMING, ROUTE_KIND.IDEMPOTENT]) {
  test(`${kind}: a caller that leaves ends both runs`, async (t) => {
    const runs = [recordClose(silent), recordClose(silent)];
    const host = await createTestHost(runs.map(({ server }) => server), { timeoutMs: LONG_MS });
    t.teardown(() => host.close());
    const result = host.call({ kind, leaveAfterMs: 8_000, deadlineMs: LONG_MS });
    await waitForSecondRun(host);
    await result;
    for (let at = 0; at < 100 && (host.size() > 0 || host.outcomes.length < 2); at++) {
      await wait(20);
    }
    for (let at = 0; at < 100 && !runs.every(({ state }) => state.isClosed); at++) await wait(20);
    t.deepEqual([host.arrivals.length, host.outcomes], [2, ["cancelled", "cancelled"]]);
    t.deepEqual([host.size(), runs.map(({ state }) => state.isClosed)], [0, [true, true]]);
  });

  test(`${kind}: a deadline with two runs in progress is answered with 504`, async (t) => {
    const host = await createTestHost([silent, silent], { timeoutMs: LONG_MS });
    t.teardown(() => host.close());
    const { status } = await host.call({ kind, deadlineMs: 8_000 });
    t.deepEqual([status, host.arrivals.length], [504, 2]);
    t.deepEqual(host.outcomes, ["cancelled", "cancelled"]);
  });

  test(`${kind}: the exit of a host with two runs in progress does not state that none ran`, async (t) => {
    const host = await createTestHost([silent, silent], { timeoutMs: LONG_MS });
    t.teardown(() => host.close());
    const result = host.call({ kind, deadlineMs: LONG_MS });
    await waitForSecondRun(host);
    host.beginExit();
    t.deepEqual([(await result).status, host.arrivals.length], [502, 2]);
  });

  test(`${kind}: the failure of the last of two runs answers the caller`, async (t) => {
    const late = createLateServer(answer(500, "first"));
    const rejecting = answer(503, "", { "Not-Run": "1" });
    const host = await createTestHost([late.server, rejecting], { timeoutMs: LONG_MS });
    t.teardown(() => host.close());
    late.setHost(host);
    const { status, body } = await host.call({ kind, deadlineMs: LONG_MS });
    t.deepEqual([status, body], [500, "first"]);
  });

  test(`${kind}: a reservation for a second run does not delay the deadline`, async (t) => {
    let reservations = 0;
    const host = await createTestHost([silent, answer(200, WHOLE)], {
      reservationMs: 1,
      canReserve: async () => {
        if (reservations++ > 0) await wait(20_000, undefined, { ref: false });
        return true;
      },
    });
    t.teardown(() => host.close());
    const startMs = performance.now();
    const { status } = await host.call({ kind, deadlineMs: SILENCE_MS + 200 });
    t.deepEqual([status, host.arrivals.length], [504, 1]);
    t.true(performance.now() - startMs < 15_000);
  });

  test(`${kind}: a reservation for the only run does not delay the deadline`, async (t) => {
    const host = await createTestHost([answer(200, WHOLE)], {
      reservationMs: 1,
      canReserve: async () => {
        await wait(20_000, undefined, { ref: false });
        return true;
      },
    });
    t.teardown(() => host.close());
    const startMs = performance.now();
    const { status } = await host.call({ kind, deadlineMs: 500 });
    t.deepEqual([status, host.arrivals.length, host.outcomes], [504, 0, ["cancelled"]]);
    t.true(performance.now() - startMs < 15_000);
  });

  test(`${kind}: data of the first server ends a second run whose memory is not reserved yet`, async (t) => {
    let reservations = 0;
    const first: ServerBehaviour = async (_req, res) => {
      while (reservations < 2) await wait(20);
      res.writeHead(200, HEAD).end(WHOLE);
    };
    const host = await createTestHost([first, answer(200, WHOLE)], {
      timeoutMs: LONG_MS,
      reservationMs: 1,
      canReserve: async () => {
        if (reservations++ > 0) await wait(SILENCE_MS);
        return true;
      },
    });
    t.teardown(() => host.close());
    const { body } = await host.call({ kind, deadlineMs: LONG_MS });
    for (let at = 0; at < 500 && host.releaseCount() < 2; at++) await wait(20);
    t.deepEqual([body, reservations, host.arrivals.length], [WHOLE, 2, 1]);
    t.deepEqual([host.outcomes, host.releaseCount()], [["cancelled", "answered"], 2]);
  });
}

test("a third server answers a request whose first two servers are silent", async (t) => {
  const host = await createTestHost([silent, silent, answer(200, WHOLE)], {
    maxAttempts: 3,
    timeoutMs: LONG_MS,
  });
  t.teardown(() => host.close());
  const { status, body } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: LONG_MS });
  t.deepEqual([status, body, host.arrivals.length], [200, WHOLE, 3]);
});

test("no second run is started on a host whose stop leaves no time for it", async (t) => {
  const host = await createTestHost([sendInTwo(""), answer(200, WHOLE)], {
    engine: TOKEN_ENGINE,
    timeoutMs: LONG_MS,
  });
  t.teardown(() => host.close());
  const result = host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: LONG_MS });
  while (host.arrivals.length === 0) await wait(5);
  host.setStopTime({ elapsedMs: 5_000, remainingMs: 1 });
  const { body } = await result;
  t.deepEqual([body, host.arrivals.length], [WHOLE, 1]);
});

test("a large failure of one run leaves the answer to the other one", async (t) => {
  const large = answer(500, "x".repeat(2 * MAX_BUFFERED_ANSWER_BYTES));
  const late = createLateServer(answer(200, WHOLE));
  const host = await createTestHost([late.server, large], { timeoutMs: LONG_MS });
  t.teardown(() => host.close());
  late.setHost(host);
  const { status, body } = await host.call({ kind: ROUTE_KIND.IDEMPOTENT, deadlineMs: LONG_MS });
  t.deepEqual([status, body, host.arrivals.length], [200, WHOLE, 2]);
});

for (const kind of [ROUTE_KIND.STREAMING, ROUTE_KIND.IDEMPOTENT]) {
  test(`${kind}: a third server is searched at once if the second one accepts no connection`, async (t) => {
    const host = await createTestHost([silent, silent, answer(200, WHOLE)], {
      timeoutMs: LONG_MS,
      serverAddresses: [undefined, "127.0.0.1:1"],
    });
    t.teardown(() => host.close());
    const { status, body } = await host.call({ kind, deadlineMs: LONG_MS });
    t.deepEqual([status, body, host.arrivals.length], [200, WHOLE, 2]);
    // Without it, the next search is that of the first server's timer.
    t.is(host.counters["silent_server other_failed second_run"], 1);
  });
}

test("a silence of both servers of a request ends with one whole answer", async (t) => {
  for (const first of Object.values(SILENCES)) {
    const second: ServerBehaviour = async (req, res) => {
      await wait(SILENCE_MS);
      const resumeAfter = Number(req.headers["resume-after"] ?? 0);
      if (!res.destroyed) res.writeHead(200, HEAD).end(events(resumeAfter + 1, 4));
    };
    const host = await createTestHost([first, second], { timeoutMs: LONG_MS });
    t.teardown(() => host.close());
    const call = { kind: ROUTE_KIND.STREAMING, deadlineMs: LONG_MS };
    const { body, isComplete } = await host.call(call);
    t.deepEqual([body, isComplete], [WHOLE, true]);
  }
});

const SINGLE_RUNS = {
  "a call that must run once": { kind: ROUTE_KIND.NON_IDEMPOTENT, place: "before the head" },
  "a call that must run once and has begun": {
    kind: ROUTE_KIND.NON_IDEMPOTENT,
    place: "between two events",
  },
  "a stream that cannot resume": { kind: ROUTE_KIND.STREAMING, place: "before the head" },
  "a stream that cannot resume and has begun": {
    kind: ROUTE_KIND.STREAMING,
    place: "between two events",
  },
  "a stream that cannot resume and has only to end": {
    kind: ROUTE_KIND.STREAMING,
    place: "after the last event",
  },
};
for (const [request, { kind, place }] of Object.entries(SINGLE_RUNS)) {
  test(`${request} is run once by a server that is silent for 1.8 s`, async (t) => {
    const first = SILENCES[place] as ServerBehaviour;
    const host = await createTestHost([first, answer(200, WHOLE)], {
      maxAttempts: 2,
      isResumable: false,
      timeoutMs: LONG_MS,
    });
    t.teardown(() => host.close());
    const { status, body, isComplete } = await host.call({ kind, deadlineMs: LONG_MS });
    t.deepEqual([status, body, isComplete], [200, WHOLE, true]);
    t.is(host.arrivals.length, 1);
  });
}

test("requests whose second run the retry budget refuses stay with their silent server", async (t) => {
  const SECOND_RUNS = 3;
  let retries = 0;
  const host = await createTestHost([sendInTwo(""), answer(500, "failed")], {
    timeoutMs: LONG_MS,
    place(job) {
      if (job.isRetry && ++retries > SECOND_RUNS) {
        return { kind: "refused", reason: "retry_budget", retryAfterMs: 500 };
      }
      const serverId = job.isRetry ? "1" : "0";
      return { kind: "placed", serverId, helperIds: [], tickets: [], partMs: 0, expectedMs: 10 };
    },
  });
  t.teardown(() => host.close());
  const calls = Array.from(
    { length: 30 },
    () => host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: LONG_MS }),
  );
  const results = await Promise.all(calls);
  t.true(results.every(({ body, isComplete }) => isComplete && body === WHOLE));
  t.true(host.arrivals.filter(({ server }) => server === 1).length <= SECOND_RUNS);
});
