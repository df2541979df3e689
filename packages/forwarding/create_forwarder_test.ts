import type { ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const SEALED = { Attempt: "a1", Seal: "s" };

const answer = (body: string): ServerBehaviour => (_req, res) => {
  res.writeHead(200, SEALED).end(body);
};

const events = (first: number, last: number) =>
  Array.from({ length: last - first + 1 }, (_, at) => `id: ${first + at}\ndata: x\n\n`).join("");

/** Sends events and then resets the connection in the middle of the next one. */
const breakOffAfter = (last: number): ServerBehaviour => (_req, res) => {
  res.writeHead(200, SEALED);
  res.write(`${events(1, last)}id: ${last + 1}\nda`);
  setTimeout(() => resetConnection(res), 20);
};

async function play(
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
  t.snapshot(await play(t, [answer("hello")], { body: "question" }));
});

test("a broken answer of an idempotent request is asked for at another server", async (t) => {
  const truncate: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { ...SEALED, "Content-Length": "100" }).write("half");
    setTimeout(() => resetConnection(res), 10);
  };
  t.snapshot(await play(t, [truncate, answer("whole")]));
});

test("a broken answer of a non-idempotent request is not asked for again", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  const reset: ServerBehaviour = (_req, res) => resetConnection(res);
  t.snapshot(await play(t, [reset, answer("twice")], call, { maxAttempts: 2 }));
});

test("a non-idempotent request that no server ran may be sent to a second one", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  const reject: ServerBehaviour = (_req, res) => {
    res.writeHead(503, { "Not-Run": "1" }).end();
  };
  t.snapshot(await play(t, [reject, answer("once")], call, { maxAttempts: 2 }));
});

test("a request that its only server did not run is refused with a time to come back", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  const reject: ServerBehaviour = (_req, res) => {
    res.writeHead(503, { "Not-Run": "1" }).end();
  };
  t.snapshot(await play(t, [reject, answer("not allowed")], call));
});

test("a success without a seal is not passed on", async (t) => {
  const unsealed: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { Attempt: "a1" }).end("forged");
  };
  t.snapshot(await play(t, [unsealed], { kind: ROUTE_KIND.NON_IDEMPOTENT }));
});

test("an answer to another request is not passed on", async (t) => {
  const crossed: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { Attempt: "other", Seal: "s" }).end("crossed");
  };
  t.snapshot(await play(t, [crossed, answer("own")]));
});

test("bytes after an answer reach nobody", async (t) => {
  const extra: ServerBehaviour = (_req, res) => {
    res.writeHead(200, { ...SEALED, "Content-Length": "3" });
    res.write("one");
    res.socket?.write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 3\r\n\r\ntwo");
  };
  t.snapshot(await play(t, [extra]));
});

/** An answer without a length, which ends with its connection. */
const unframed =
  (body: string, end: (res: ServerResponse) => void): ServerBehaviour => (_, res) => {
    res.socket?.write(`HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\n${body}`);
    setTimeout(() => end(res), 20);
  };

test("an answer without a length is complete when its connection is closed", async (t) => {
  const closed = unframed("whole", (res) => res.socket?.end());
  t.snapshot((await play(t, [closed], { kind: ROUTE_KIND.NON_IDEMPOTENT })).result);
});

test("an answer without a length is not complete when its connection is reset", async (t) => {
  const reset = unframed(events(1, 1), resetConnection);
  t.snapshot({
    plain: (await play(t, [reset], { kind: ROUTE_KIND.NON_IDEMPOTENT })).result,
    stream: (await play(t, [reset], { kind: ROUTE_KIND.STREAMING }, { maxAttempts: 1 })).result,
  });
});

test("an answer without a length is not complete when the reset comes with its bytes", async (t) => {
  const reset: ServerBehaviour = (_req, res) => {
    res.socket?.write("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\nhalf", () => {
      resetConnection(res);
    });
  };
  t.snapshot((await play(t, [reset], { kind: ROUTE_KIND.NON_IDEMPOTENT })).result);
});

test("a server's own failure is delivered when no other server may answer", async (t) => {
  const fail: ServerBehaviour = (_req, res) => void res.writeHead(500, SEALED).end("failed");
  t.snapshot({
    idempotent: await play(t, [fail, fail]),
    nonIdempotent: await play(t, [fail, answer("twice")], { kind: ROUTE_KIND.NON_IDEMPOTENT }),
  });
});

test("a stream that breaks off goes on at another server after the last whole event", async (t) => {
  const host = await createTestHost([
    breakOffAfter(2),
    (_req, res) => void res.writeHead(200, SEALED).end(events(3, 4)),
  ]);
  t.teardown(() => host.close());
  const result = await host.call({ kind: ROUTE_KIND.STREAMING });
  t.is(host.arrivals[1]?.headers["resume-after"], "2");
  t.snapshot(result);
});

test("events that the caller has are not repeated by the second server", async (t) => {
  const repeat: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).end(events(1, 4));
  };
  const { result } = await play(t, [breakOffAfter(2), repeat], { kind: ROUTE_KIND.STREAMING });
  t.is(result.body, events(1, 4));
});

test("a stream that cannot go on never looks complete", async (t) => {
  const call = { kind: ROUTE_KIND.STREAMING };
  t.snapshot(await play(t, [breakOffAfter(2), breakOffAfter(2)], call));
});

test("a stalled stream goes on elsewhere", async (t) => {
  const stall: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).write(events(1, 1));
  };
  const rest: ServerBehaviour = (_req, res) => void res.writeHead(200, SEALED).end(events(2, 2));
  const { result } = await play(t, [stall, rest], { kind: ROUTE_KIND.STREAMING });
  t.is(result.body, events(1, 2));
});

test("a silent server of an idempotent request is given up for another one", async (t) => {
  t.snapshot(await play(t, [() => {}, answer("in time")]));
});

test("a caller that leaves cancels its request at the server", async (t) => {
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

test("a caller that leaves while memory is reserved for it reaches no server", async (t) => {
  const host = await createTestHost([answer("late")], { reservationMs: 200 });
  t.teardown(() => host.close());
  await host.call({ leaveAfterMs: 50 });
  await wait(300);
  t.deepEqual([host.arrivals.length, host.outcomes], [0, ["cancelled"]]);
});

test("a request that is not answered in time gets a final answer then", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT, deadlineMs: 200 };
  t.snapshot({
    deadline: await play(t, [() => {}], call),
    routeTimeout: await play(t, [() => {}], { ...call, deadlineMs: 9_000 }, { timeoutMs: 200 }),
  });
});

test("a server is told the time that is left", async (t) => {
  const host = await createTestHost([answer("")]);
  t.teardown(() => host.close());
  await host.call({ deadlineMs: 700 });
  const remainingMs = Number(host.arrivals[0]?.headers.remaining);
  t.true(remainingMs <= 700 && remainingMs > 300, String(remainingMs));
});

test("what no configuration allows is told apart from what none is known for", async (t) => {
  t.snapshot({
    unknownRoute: (await play(t, [], { path: "/nowhere/" })).result,
    unknownKey: (await play(t, [], { key: "other" })).result,
    noConfiguration: (await play(t, [], {}, { hasNoConfiguration: true })).result,
  });
});

test("a public route asks for no key and names no workspace", async (t) => {
  const host = await createTestHost([answer("open")], { isPublic: true });
  t.teardown(() => host.close());
  const { status } = await host.call({ key: "other" });
  t.deepEqual([status, host.arrivals[0]?.headers.workspace], [200, ""]);
});

test("a body beyond the limit is refused before it is sent anywhere", async (t) => {
  t.snapshot(await play(t, [answer("")], { body: "x".repeat(1_000_001) }));
});

test("a host that stops refuses late requests truthfully", async (t) => {
  const host = await createTestHost([answer("")]);
  t.teardown(() => host.close());
  host.refuse();
  t.snapshot({ result: await host.call(), arrivals: host.arrivals.length });
});

test("a refusal by placement is passed on with its time to come back", async (t) => {
  const refusal = { kind: "refused", reason: "no_server", retryAfterMs: 500 } as const;
  t.snapshot((await play(t, [], {}, { refusal })).result);
});

test("a server that cannot be reached was not sent anything", async (t) => {
  const call = { kind: ROUTE_KIND.NON_IDEMPOTENT };
  t.snapshot((await play(t, [], call)).result);
});

test("a large answer is passed on whole", async (t) => {
  const body = "x".repeat(1_500_000);
  const { result } = await play(t, [answer(body)]);
  t.deepEqual([result.body.length, result.isComplete], [body.length, true]);
});
