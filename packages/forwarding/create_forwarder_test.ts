import type { ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND, SERVER_STATUS } from "./types.ts";

const SEALED = { Attempt: "a1", Seal: "s" };

const answer = (body: string): ServerBehaviour => (_req, res) => {
  res.writeHead(200, SEALED).end(body);
};

const events = (first: number, last: number) =>
  Array.from({ length: last - first + 1 }, (_, at) => `id: ${first + at}\ndata: x\n\n`).join("");

/** Sends events and then resets the connection in the middle of the next event. */
const interruptAfter = (last: number): ServerBehaviour => (_req, res) => {
  res.writeHead(200, SEALED);
  res.write(`${events(1, last)}id: ${last + 1}\nda`);
  setTimeout(() => resetConnection(res), 20);
};

async function runRequest(
  t: ExecutionContext,
  behaviours: ServerBehaviour[],
  call: CallOptions = {},
  options: TestHostOptions = {},
) {
  const host = await createTestHost(behaviours, options);
  t.teardown(() => host.close());
  const result = await host.call(call);
  return { result, servers: host.arrivals.map(({ server }) => server), outcomes: host.outcomes };
}

test("an answer is passed on with its seal", async (t) => {
  t.snapshot(await runRequest(t, [answer("hello")], { body: "question" }));
});

test("an idempotent request is retried at another server after a truncated answer", async (t) => {
  const truncate: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { ...SEALED, "Content-Length": "100" }).write("half");
    setTimeout(() => resetConnection(res), 10);
  };
  t.snapshot(await runRequest(t, [truncate, answer("whole")]));
});

test("a non-idempotent request is not retried after its connection breaks", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  const reset: ServerBehaviour = (_req, res) => resetConnection(res);
  t.snapshot(await runRequest(t, [reset, answer("twice")], call, { maxAttempts: 2 }));
});

test("a non-idempotent request that a server rejected unexecuted is sent to a second one", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  const reject: ServerBehaviour = (_req, res) => {
    res.writeHead(503, { "Not-Run": "1" }).end();
  };
  t.snapshot(await runRequest(t, [reject, answer("once")], call, { maxAttempts: 2 }));
});

test("a request that its only server rejected unexecuted gets 503 and a retry delay", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  const reject: ServerBehaviour = (_req, res) => {
    res.writeHead(503, { "Not-Run": "1" }).end();
  };
  t.snapshot(await runRequest(t, [reject, answer("not allowed")], call));
});

test("a successful answer without a seal is not passed on", async (t) => {
  const unsealed: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { Attempt: "a1" }).end("forged");
  };
  t.snapshot(await runRequest(t, [unsealed], { kind: ROUTE_KIND.NON_IDEMPOTENT }));
});

test("an answer to another request is not passed on", async (t) => {
  const crossed: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { Attempt: "other", Seal: "s" }).end("crossed");
  };
  t.snapshot(await runRequest(t, [crossed, answer("own")]));
});

test("extra bytes after an answer are not passed on", async (t) => {
  const extra: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { ...SEALED, "Content-Length": "3" });
    res.write("one");
    res.socket?.write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 3\r\n\r\ntwo");
  };
  t.snapshot(await runRequest(t, [extra]));
});

/** An answer without a stated length, which ends when its connection closes. */
const closeDelimited =
  (body: string, end: (res: ServerResponse) => void): ServerBehaviour => (_, res) => {
    res.socket?.write(`HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\n${body}`);
    setTimeout(() => end(res), 20);
  };

test("an answer without a length is complete if its connection is closed normally", async (t) => {
  const closed = closeDelimited("whole", (res) => res.socket?.end());
  t.snapshot((await runRequest(t, [closed], { kind: ROUTE_KIND.NON_IDEMPOTENT })).result);
});

test("an answer without a length is incomplete if its connection is reset", async (t) => {
  const reset = closeDelimited(events(1, 1), resetConnection);
  t.snapshot({
    plain: (await runRequest(t, [reset], { kind: ROUTE_KIND.NON_IDEMPOTENT })).result,
    stream:
      (await runRequest(t, [reset], { kind: ROUTE_KIND.STREAMING }, { maxAttempts: 1 })).result,
  });
});

test("an answer without a length is incomplete if the reset arrives with its last bytes", async (t) => {
  const reset: ServerBehaviour = (_req, res) => {
    res.socket?.write("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\nhalf", () => {
      resetConnection(res);
    });
  };
  t.snapshot((await runRequest(t, [reset], { kind: ROUTE_KIND.NON_IDEMPOTENT })).result);
});

test("a server's own error answer is passed on if no other server may answer", async (t) => {
  const fail: ServerBehaviour = (_req, res) => void res.writeHead(500, SEALED).end("failed");
  t.snapshot({
    idempotent: await runRequest(t, [fail, fail]),
    nonIdempotent: await runRequest(t, [fail, answer("twice")], {
      kind: ROUTE_KIND.NON_IDEMPOTENT,
    }),
  });
});

test("an interrupted stream resumes at another server after the last complete event", async (t) => {
  const host = await createTestHost([
    interruptAfter(2),
    (_req, res) => void res.writeHead(200, SEALED).end(events(3, 4)),
  ]);
  t.teardown(() => host.close());
  const result = await host.call({ kind: ROUTE_KIND.STREAMING });
  t.is(host.arrivals[1]?.headers["resume-after"], "2");
  t.snapshot(result);
});

test("events that the caller received are dropped if the second server repeats them", async (t) => {
  const repeat: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).end(events(1, 4));
  };
  const { result } = await runRequest(t, [interruptAfter(2), repeat], {
    kind: ROUTE_KIND.STREAMING,
  });
  t.is(result.body, events(1, 4));
});

test("a stream that cannot resume does not look complete to the caller", async (t) => {
  const call = { kind: ROUTE_KIND.STREAMING };
  t.snapshot(await runRequest(t, [interruptAfter(2), interruptAfter(2)], call));
});

test("a stalled stream resumes at another server", async (t) => {
  const stall: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).write(events(1, 1));
  };
  const rest: ServerBehaviour = (_req, res) => void res.writeHead(200, SEALED).end(events(2, 2));
  const { result } = await runRequest(t, [stall, rest], { kind: ROUTE_KIND.STREAMING });
  t.is(result.body, events(1, 2));
});

test("an idempotent request is retried at another server if the first byte is late", async (t) => {
  t.snapshot(await runRequest(t, [() => {}, answer("in time")]));
});

/** Expected time to the first byte that makes the first-byte timeout longer than the tests. */
const LONG_EXPECTED_MS = 3_000;

const silent: ServerBehaviour = () => {};

const answerAfter = (ms: number, body: string): ServerBehaviour => (_req, res) => {
  setTimeout(() => res.writeHead(200, SEALED).end(body), ms);
};

test("a repeatable request leaves a silent server that is lost, also as its last attempt", async (t) => {
  const options = {
    expectedMs: LONG_EXPECTED_MS,
    maxAttempts: 1,
    restartedAtMs: [2],
    serverStatus: [SERVER_STATUS.LOST],
  };
  const stream: ServerBehaviour = (_req, res) => void res.writeHead(200, SEALED).end(events(1, 2));
  t.snapshot({
    idempotent: await runRequest(t, [silent, answer("whole")], {}, options),
    stream: await runRequest(t, [silent, stream], { kind: ROUTE_KIND.STREAMING }, options),
  });
});

test.serial("a non-idempotent request on a lost server fails before its deadline and is not repeated", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT, deadlineMs: 2_900 };
  const options = { maxAttempts: 2, restartedAtMs: [2], serverStatus: [SERVER_STATUS.LOST] };
  t.snapshot(await runRequest(t, [silent, answer("twice")], call, options));
});

test.serial("a stream goes on at another server when its server is lost between two events", async (t) => {
  const first: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).write(events(1, 2));
  };
  const rest: ServerBehaviour = (_req, res) => void res.writeHead(200, SEALED).end(events(3, 4));
  const call = { kind: ROUTE_KIND.STREAMING };
  const options = {
    maxAttempts: 1,
    pauseGoalMs: 1_000,
    restartedAtMs: [2],
    serverStatus: [SERVER_STATUS.LOST],
  };
  const { result, servers } = await runRequest(t, [first, rest], call, options);
  t.is(result.body, events(1, 4));
  t.deepEqual(servers, [0, 1]);
});

test("a slow server that is alive keeps its request, and is checked once a second at most", async (t) => {
  const host = await createTestHost([answerAfter(2_800, "slow"), answer("other")], {
    expectedMs: 700,
    maxAttempts: 1,
  });
  t.teardown(() => host.close());
  const { body } = await host.call({ deadlineMs: 4_000 });
  t.deepEqual([body, host.arrivals.length], ["slow", 1]);
  t.true(host.checkCount() > 0 && host.checkCount() <= 2, `${host.checkCount()} checks`);
});

test("a request leaves an unreachable server after several checks, but only if it may be repeated", async (t) => {
  const options = {
    expectedMs: LONG_EXPECTED_MS,
    maxAttempts: 2,
    restartedAtMs: [2],
    serverStatus: [SERVER_STATUS.UNREACHABLE],
  };
  const behaviours = [answerAfter(4_500, "late"), answer("other")];
  const call = { deadlineMs: 4_900 };
  t.snapshot({
    idempotent: await runRequest(t, behaviours, call, options),
    nonIdempotent: await runRequest(t, behaviours, {
      ...call,
      kind: ROUTE_KIND.NON_IDEMPOTENT,
    }, options),
  });
});

test("memory is released when the server of its request is lost", async (t) => {
  const host = await createTestHost([silent, answer("whole")], {
    expectedMs: LONG_EXPECTED_MS,
    reservationMs: 1,
    serverStatus: [SERVER_STATUS.LOST],
  });
  t.teardown(() => host.close());
  const { body } = await host.call();
  await wait(50);
  t.deepEqual([body, host.releaseCount()], ["whole", 2]);
});

// Guards against two requests that use one ticket, so that the end of the first cuts off the other.
test("requests with one attempt id reserve memory under different names", async (t) => {
  const jobIds = new Set<string>();
  const host = await createTestHost([answer("first"), answer("second")], {
    reservationMs: 1,
    canReserve: (jobId) => {
      jobIds.add(jobId);
      return true;
    },
  });
  t.teardown(() => host.close());
  const answers = await Promise.all([host.call(), host.call()]);
  t.deepEqual([answers.map(({ status }) => status), jobIds.size], [[200, 200], 2]);
});

test.serial("a request is cancelled at the server when its caller disconnects", async (t) => {
  let isClosed = false;
  const host = await createTestHost([(_req, res) => {
    res.on("close", () => isClosed = true);
  }]);
  t.teardown(() => host.close());
  await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT, leaveAfterMs: 50 });
  await wait(100);
  t.true(isClosed);
  t.deepEqual([host.size(), host.outcomes], [0, ["cancelled"]]);
});

test.serial("a request is sent to no server if its caller disconnects while memory is reserved", async (t) => {
  const host = await createTestHost([answer("late")], { reservationMs: 200 });
  t.teardown(() => host.close());
  await host.call({ leaveAfterMs: 50 });
  await wait(300);
  t.deepEqual([host.arrivals.length, host.outcomes], [0, ["cancelled"]]);
});

test.serial("a request that is not answered by its deadline or route timeout gets 504 then", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT, deadlineMs: 200 };
  t.snapshot({
    deadline: await runRequest(t, [() => {}], call),
    routeTimeout: await runRequest(t, [() => {}], { ...call, deadlineMs: 9_000 }, {
      timeoutMs: 200,
    }),
  });
});

test("a server is told the time that remains until the deadline", async (t) => {
  const host = await createTestHost([answer("")]);
  t.teardown(() => host.close());
  await host.call({ deadlineMs: 700 });
  const remainingMs = Number(host.arrivals[0]?.headers.remaining);
  t.true(remainingMs <= 700 && remainingMs > 300, String(remainingMs));
});

test("an unknown route, an unknown key and a missing configuration get different answers", async (t) => {
  t.snapshot({
    unknownRoute: (await runRequest(t, [], { path: "/nowhere/" })).result,
    unknownKey: (await runRequest(t, [], { key: "other" })).result,
    noConfiguration: (await runRequest(t, [], {}, { hasNoConfiguration: true })).result,
  });
});

test("a public route needs no key and passes no workspace on", async (t) => {
  const host = await createTestHost([answer("open")], { isPublic: true });
  t.teardown(() => host.close());
  const { status } = await host.call({ key: "other" });
  t.deepEqual([status, host.arrivals[0]?.headers.workspace], [200, ""]);
});

test("a body larger than the limit is refused and sent to no server", async (t) => {
  t.snapshot(await runRequest(t, [answer("")], { body: "x".repeat(1_000_001) }));
});

test("headers longer than the configured limit are refused and sent to no server", async (t) => {
  const path = `/idempotent/${"x".repeat(8_192)}`;
  t.snapshot(await runRequest(t, [answer("")], { path }));
});

test("a stopping host refuses new requests with 503 and sends them to no server", async (t) => {
  const host = await createTestHost([answer("")]);
  t.teardown(() => host.close());
  host.stop({ remainingMs: 0 });
  t.snapshot({ result: await host.call(), arrivals: host.arrivals.length });
});

test("a refusal by placement is passed on with its retry delay", async (t) => {
  const refusal = { kind: "refused", reason: "no_server", retryAfterMs: 500 } as const;
  t.snapshot((await runRequest(t, [], {}, { refusal })).result);
});

test("a non-idempotent request gets 503 and a retry delay if placement has no server", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  t.snapshot((await runRequest(t, [], call)).result);
});

test("an answer larger than the buffer is passed on completely", async (t) => {
  const body = "x".repeat(1_500_000);
  const { result } = await runRequest(t, [answer(body)]);
  t.deepEqual([result.body.length, result.isComplete], [body.length, true]);
});
