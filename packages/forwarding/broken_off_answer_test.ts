import { connect } from "node:net";
import test from "ava";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost, TestHostOptions } from "./_testing/create_test_host.ts";
import { MAX_BUFFERED_ANSWER_BYTES } from "./constants.ts";
import { ROUTE_KIND } from "./types.ts";

const SEALED = { Attempt: "a1", Seal: "s" };
const UNSEALED = { Attempt: "a1" };

const TEXT = "engine failed";
const JSON_ERROR = '{"error":"engine failed"}';

/** Time limits of servers, longer than the tests. */
const LIMITS = { expectedMs: 60_000, pauseGoalMs: 60_000 };

const events = (first: number, last: number) =>
  Array.from({ length: last - first + 1 }, (_, at) => `id: ${first + at}\ndata: x\n\n`).join("");

const answer =
  (status: number, body: string, headers: Record<string, string> = SEALED): ServerBehaviour =>
  (_req, res) => void res.writeHead(status, headers).end(body);

/** Sends a part of a chunked body and then closes the connection. */
const breakOffAfter = (part: string): ServerBehaviour => (_req, res) => {
  res.writeHead(200, SEALED).write(part, () => res.socket?.end());
};

/** Sends a body without a stated length, which ends when its connection is closed. */
const closeAfter = (body: string): ServerBehaviour => (_req, res) => {
  res.socket?.end(`HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\n${body}`);
};

/** The events 1 and 2 and the beginning of event 3. */
const PART = `${events(1, 2)}id: 3\nda`;

/** Ways in which a stream of the events 1 to 4 goes on after its first server broke off. */
const CONTINUATIONS: Record<string, ServerBehaviour | undefined> = {
  "200, next events": answer(200, events(3, 4)),
  "200, all events": answer(200, events(1, 4)),
  "200, next events, other content type": answer(200, events(3, 4), {
    ...SEALED,
    "Content-Type": "application/json",
  }),
  "200, later events": answer(200, events(4, 5)),
  "200, gap after the next event": answer(200, events(3, 3) + events(5, 5)),
  "200, events without ids": answer(200, "data: x\n\ndata: x\n\n"),
  "200, no events": answer(200, ""),
  "200, no events, closed connection": closeAfter(""),
  "200, repeated events alone": answer(200, events(1, 2)),
  "200, beginning of the next event": answer(200, "id: 3\nda"),
  "200, beginning of the next event, closed connection": closeAfter("id: 3\nda"),
  "200, beginning of a repeated event": answer(200, `${events(1, 1)}id: 2\nda`),
  "200, next event and beginning of another": answer(200, `${events(3, 3)}id: 4\nda`),
  "200, next event and error text": answer(200, events(3, 3) + TEXT),
  "200, next event and closed connection": breakOffAfter(`${events(3, 3)}id: 4\nda`),
  "200, JSON error": answer(200, JSON_ERROR, { ...SEALED, "Content-Type": "application/json" }),
  "200, JSON error, not sealed": answer(200, JSON_ERROR, UNSEALED),
  "200, HTML": answer(200, "<p>failed</p>\n\n", { ...SEALED, "Content-Type": "text/html" }),
  "200, head and text": answer(200, `HTTP/1.1 502 Bad Gateway\r\nServer: x\r\n\r\n${TEXT}`),
  "200, encoded": answer(200, events(3, 4), { ...SEALED, "Content-Encoding": "gzip" }),
  "200, of another request": answer(200, events(3, 4), { Attempt: "other", Seal: "s" }),
  "204": answer(204, ""),
  "206, text": answer(206, TEXT),
  "206, next events": answer(206, events(3, 4)),
  "302": answer(302, TEXT, { ...SEALED, Location: "/" }),
  "304": answer(304, ""),
  "400, text": answer(400, TEXT),
  "400, text, not sealed": answer(400, TEXT, UNSEALED),
  "400, next events": answer(400, events(3, 4)),
  "500, text": answer(500, TEXT),
  "500, text, not sealed": answer(500, TEXT, UNSEALED),
  "500, next events": answer(500, events(3, 4)),
  "503, not run": answer(503, TEXT, { ...SEALED, "Not-Run": "1" }),
  "no HTTP": (_req, res) => void res.socket?.end(TEXT),
  "reset before the head": (_req, res) => resetConnection(res),
  "no second server": undefined,
};

/** Describes a body as the ids of its events, and what it has besides these events. */
function describeBody(body: string) {
  const event = /id: (\d+)\ndata: x\n\n/g;
  return {
    ids: [...body.matchAll(event)].map(([, id]) => id).join(" "),
    foreign: body.replaceAll(event, ""),
  };
}

interface DescribeOptions extends TestHostOptions {
  /** True if the host begins to stop when the request reaches the first server. */
  isStopping?: boolean;
  deadlineMs?: number;
}

async function describeCall(
  behaviours: ServerBehaviour[],
  { isStopping = false, deadlineMs = 20_000, ...options }: DescribeOptions = {},
) {
  const [first, ...others] = behaviours;
  const host: TestHost = await createTestHost([(req, res, body) => {
    if (isStopping) host.stop({ remainingMs: 0 });
    first?.(req, res, body);
  }, ...others], { ...LIMITS, timeoutMs: 20_000, ...options });
  try {
    const call = { kind: ROUTE_KIND.STREAMING, deadlineMs };
    const { status, body, isComplete } = await host.call(call);
    return {
      status,
      ...describeBody(body),
      isComplete,
      servers: host.arrivals.map(({ server }) => server).join(" "),
    };
  } finally {
    await host.close();
  }
}

async function describeCases<Result>(cases: Record<string, () => Promise<Result>>) {
  const results: Record<string, Result> = {};
  for (const [name, run] of Object.entries(cases)) results[name] = await run();
  return results;
}

/** Describes how an answer breaks the order of the events 1 to 4; undefined if it does not. */
function checkStream(
  { ids, foreign, isComplete }: Awaited<ReturnType<typeof describeCall>>,
): string | undefined {
  if (foreign !== "") return `bytes that are no events of the stream: ${foreign}`;
  if (!"1 2 3 4".startsWith(ids)) return `events are not in order: ${ids}`;
  return isComplete && ids !== "1 2 3 4" ? `ended as complete after ${ids}` : undefined;
}

test("a stream that broke off gets nothing but its next events, whatever the next server answers", async (t) => {
  const results = await describeCases(Object.fromEntries(
    Object.entries(CONTINUATIONS).map(([name, next]) => [
      name,
      () => describeCall([breakOffAfter(PART), ...(next === undefined ? [] : [next])]),
    ]),
  ));
  const faults = Object.entries(results).flatMap(([name, result]) => {
    const fault = checkStream(result);
    return fault === undefined ? [] : [`${name}: ${fault}`];
  });
  t.deepEqual(faults, []);
  t.snapshot(results);
});

test("a stream goes on at a third server after a second one that cannot continue it", async (t) => {
  const last = answer(200, events(3, 4));
  const run = (behaviour: ServerBehaviour) => () =>
    describeCall([breakOffAfter(PART), behaviour, last], { maxAttempts: 3 });
  t.snapshot(
    await describeCases({
      "200, JSON error": run(answer(200, JSON_ERROR)),
      "200, later events": run(answer(200, events(4, 5))),
      "200, no events": run(answer(200, "")),
      "204": run(answer(204, "")),
      "400, text": run(answer(400, TEXT)),
      "500, text": run(answer(500, TEXT)),
      "503, not run": run(answer(503, TEXT, { ...SEALED, "Not-Run": "1" })),
    }),
  );
});

test("a stream whose first server ends it within an event does not look complete", async (t) => {
  t.snapshot(
    await describeCases({
      "chunked, beginning of an event": () => describeCall([answer(200, PART)]),
      "closed connection, beginning of an event": () => describeCall([closeAfter(PART)]),
      "beginning of the first event": () =>
        describeCall([answer(200, "id: 1\nda", {
          ...SEALED,
          "Content-Type": "text/event-stream; charset=utf-8",
        })]),
      "chunked, error text": () => describeCall([answer(200, events(1, 2) + TEXT)]),
      "resumed elsewhere": () => describeCall([answer(200, PART), answer(200, events(3, 4))]),
    }),
  );
});

test("an error answer from before the first event does not follow a stream that broke off", async (t) => {
  const behaviours = [answer(500, TEXT), breakOffAfter(PART)];
  t.snapshot(
    await describeCases({
      "no attempt left": () => describeCall(behaviours),
      "no server left": () => describeCall(behaviours, { maxAttempts: 3 }),
    }),
  );
});

test("a stream that broke off is not complete when its deadline passes at the next server", async (t) => {
  const behaviours = [breakOffAfter(PART), () => {}];
  t.snapshot(await describeCall(behaviours, { deadlineMs: 1_000 }));
});

test("a stream that broke off is not complete when its deadline leaves no time for a retry", async (t) => {
  const breakOffLate: ServerBehaviour = (_req, res) => {
    res.writeHead(200, SEALED).write(events(1, 2));
    setTimeout(() => res.socket?.end(), 930);
  };
  t.snapshot(await describeCall([breakOffLate, answer(200, events(3, 4))], { deadlineMs: 1_000 }));
});

test("a stream that broke off on a stopping host is continued or not complete", async (t) => {
  const run = (next: ServerBehaviour) => () =>
    describeCall([breakOffAfter(PART), next], { isStopping: true });
  t.snapshot(
    await describeCases({
      "continued": run(answer(200, events(3, 4))),
      "refused": run(answer(503, TEXT)),
    }),
  );
});

test("a large answer that broke off is not followed by another server's answer", async (t) => {
  const part = "x".repeat(MAX_BUFFERED_ANSWER_BYTES + 1);
  const run = async (next: ServerBehaviour) => {
    const host = await createTestHost([breakOffAfter(part), next], LIMITS);
    try {
      const { status, body, isComplete } = await host.call();
      const servers = host.arrivals.map(({ server }) => server).join(" ");
      return { status, length: body.length, isComplete, servers, outcomes: host.outcomes };
    } finally {
      await host.close();
    }
  };
  t.snapshot(
    await describeCases({
      "200": () => run(answer(200, "whole")),
      "200, large": () => run(answer(200, `${part}${part}`)),
      "400": () => run(answer(400, TEXT)),
      "500": () => run(answer(500, TEXT)),
      "500, not sealed": () => run(answer(500, TEXT, UNSEALED)),
    }),
  );
});

/** Sends a request as HTTP/1.0, whose answers end when the connection is closed. */
function callAsHttp10(host: TestHost, kind: string): Promise<{ end: string }> {
  const [address, port] = host.address.split(":");
  return new Promise((resolve) => {
    const options = { port: Number(port), host: address, allowHalfOpen: true };
    const socket = connect(options, () => {
      socket.write(
        `POST /${kind}/1 HTTP/1.0\r\nHost: a.example\r\nAttempt: a1\r\nKey: k1\r\n` +
          "Content-Length: 0\r\n\r\n",
      );
    });
    socket.resume();
    socket.on("error", () => resolve({ end: "reset" }));
    // Node.js may report a reset as a normal end, but a write fails then.
    socket.on("end", () => {
      socket.write("\r\n", (err) => {
        resolve({ end: err ? "reset" : "closed" });
        socket.destroy();
      });
    });
  });
}

test("an answer that broke off does not look complete to a caller of HTTP/1.0", async (t) => {
  const run = async (kind: string, behaviour: ServerBehaviour) => {
    const host = await createTestHost([behaviour], { ...LIMITS, maxAttempts: 1 });
    try {
      return await callAsHttp10(host, kind);
    } finally {
      await host.close();
    }
  };
  const part = "x".repeat(MAX_BUFFERED_ANSWER_BYTES + 1);
  t.snapshot(
    await describeCases({
      "whole stream": () => run(ROUTE_KIND.STREAMING, answer(200, events(1, 4))),
      "stream": () => run(ROUTE_KIND.STREAMING, breakOffAfter(PART)),
      "large answer": () => run(ROUTE_KIND.IDEMPOTENT, breakOffAfter(part)),
    }),
  );
});
