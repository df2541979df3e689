import type { DegradedServer, PlacementServer } from "@jaypass/placement";
import test from "ava";
import { createDegradedServerWatch } from "./create_degraded_server_watch.ts";

test("only engines that were late are asked for their pace, each once a second, and changes are logged as often", async (t) => {
  let nowMs = 0;
  let degraded: DegradedServer[] = [];
  const calls: string[] = [];
  const lines: unknown[] = [];
  const noop = () => {};
  const watch = createDegradedServerWatch({
    listDegraded: () => degraded,
    engines: () => ["e1", "e2", "e3"].map((id) => ({ id, address: id }) as PlacementServer),
    reports: {
      read: ({ serverId }) =>
        serverId === "e2"
          ? Promise.reject(new Error("timeout"))
          : Promise.resolve({ running: 0, queued: 0, usedTokens: 0, pace: 4 }),
    },
    onPace: (id, pace) => void calls.push(`${nowMs} ${id} ${pace}`),
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    log: { info: (fields: unknown) => void lines.push(fields), debug: noop } as never,
    metrics: { increment: noop, gauge: noop } as never,
  });
  const server = { failureShare: 0, wantsPace: true };
  for (; nowMs < 2_000; nowMs += 50) {
    degraded = [
      { ...server, serverId: "e1", factor: 1 + nowMs / 500 },
      { ...server, serverId: "e2", factor: 1 },
      { ...server, serverId: "e3", factor: 2, wantsPace: false },
    ];
    await watch.check();
  }
  degraded = [];
  await watch.check();
  await watch.check();
  t.deepEqual(calls, ["0 e1 4", "1000 e1 4"]);
  t.deepEqual(lines, [
    { server: "e3", factor: 2, failureShare: 0 },
    { server: "e1", factor: 1.5, failureShare: 0 },
    { server: "e1", factor: 3.5, failureShare: 0 },
    { server: "e3", factor: 1, failureShare: 0 },
  ]);
  nowMs += 1_000;
  await watch.check();
  t.deepEqual(lines.at(-1), { server: "e1", factor: 1, failureShare: 0 });
  t.is(lines.length, 5);
});
