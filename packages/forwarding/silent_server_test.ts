import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { SILENCE_TOLERANCE_MS } from "./constants.ts";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND, SERVER_STATUS } from "./types.ts";

const SEALED = { Attempt: "a1", Seal: "s" };

/** A pause that is longer than the pause after which a stream counts as stalled. */
const LONG_PAUSE_MS = SILENCE_TOLERANCE_MS + 300;

const events = (first: number, last: number) =>
  Array.from({ length: last - first + 1 }, (_, at) => `id: ${first + at}\ndata: x\n\n`).join("");

/** Sends a stream that pauses after its second event and then goes on. */
const pausingStream: ServerBehaviour = async (_req, res) => {
  res.writeHead(200, SEALED).write(events(1, 2));
  await wait(LONG_PAUSE_MS);
  if (!res.destroyed) res.end(events(3, 4));
};

const slowAnswer: ServerBehaviour = async (_req, res) => {
  await wait(LONG_PAUSE_MS);
  if (!res.destroyed) res.writeHead(200, SEALED).end("slow");
};

async function call(
  t: ExecutionContext,
  behaviours: ServerBehaviour[],
  kind: typeof ROUTE_KIND.STREAMING | typeof ROUTE_KIND.IDEMPOTENT,
  options: TestHostOptions,
) {
  const host = await createTestHost(behaviours, options);
  t.teardown(() => host.close());
  return await host.call({ kind, deadlineMs: 4 * LONG_PAUSE_MS });
}

const CASES: Record<string, TestHostOptions> = {
  "may not be resumed": { isResumable: false },
  "has used its attempts": { maxAttempts: 1 },
  "has no other server": {},
};
for (const [name, options] of Object.entries(CASES)) {
  test(`a stream that ${name} is not cut off because its server pauses`, async (t) => {
    const { body, isComplete } = await call(t, [pausingStream], ROUTE_KIND.STREAMING, options);
    t.deepEqual([body, isComplete], [events(1, 4), true]);
  });
}

test("an idempotent request without another server is answered by a slow one", async (t) => {
  const { status, body } = await call(t, [slowAnswer], ROUTE_KIND.IDEMPOTENT, {});
  t.deepEqual([status, body], [200, "slow"]);
});

test("a server that is unreachable for the host keeps a request that no other server can take", async (t) => {
  const late: ServerBehaviour = async (_req, res) => {
    await wait(2 * LONG_PAUSE_MS);
    if (!res.destroyed) res.writeHead(200, SEALED).end("late");
  };
  const { status, body } = await call(t, [late], ROUTE_KIND.IDEMPOTENT, {
    maxAttempts: 1,
    restartedAtMs: [2],
    serverStatus: [SERVER_STATUS.UNREACHABLE],
  });
  t.deepEqual([status, body], [200, "late"]);
});

test("a server that goes on while another one is searched keeps its stream", async (t) => {
  const other: ServerBehaviour = (_req, res) => void res.writeHead(200, SEALED).end(events(3, 4));
  let placements = 0;
  const host = await createTestHost([pausingStream, other], {
    async place() {
      const isFirst = placements++ === 0;
      // The second decision comes only after the first server has gone on.
      if (!isFirst) await wait(LONG_PAUSE_MS);
      const serverId = isFirst ? "0" : "1";
      return { kind: "placed", serverId, helperIds: [], tickets: [], partMs: 0, expectedMs: 10 };
    },
  });
  t.teardown(() => host.close());
  const { body, isComplete } = await host.call({
    kind: ROUTE_KIND.STREAMING,
    deadlineMs: 4 * LONG_PAUSE_MS,
  });
  await wait(LONG_PAUSE_MS);
  t.deepEqual([body, isComplete, placements], [events(1, 4), true, 2]);
  t.deepEqual(host.arrivals.map(({ server }) => server), [0]);
  t.deepEqual(host.outcomes, ["answered", "cancelled"]);
});
