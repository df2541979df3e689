import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { SILENCE_TOLERANCE_MS } from "./constants.ts";
import { createTestHost, resetConnection } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

/** Silence after which the first server goes on, while a second one has the request. */
const SILENCE_MS = SILENCE_TOLERANCE_MS + 400;

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
      const host = await createTestHost([first, second]);
      try {
        const { status, body, isComplete } = await host.call({ kind });
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
