import fc from "fast-check";
import test from "ava";
import { createPlacer } from "./create_placer.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import { JOB_OUTCOME } from "./types.ts";
import type { PlacementDecision } from "./types.ts";

/** Longer than any job waits. */
const PAST_ALL_DEADLINES_MS = 61_000;

const SERVER_COUNT = 4;

/** Services of configurations: both, either, without a cost model, with fewer slots. */
const SERVICES = [
  [{ name: "model", coldRequestsPerS: 0, engine: PROFILE }, { name: "plain", coldRequestsPerS: 0 }],
  [{ name: "model", coldRequestsPerS: 0, engine: PROFILE }],
  [{ name: "plain", coldRequestsPerS: 0 }],
  [{ name: "model", coldRequestsPerS: 0 }],
  [{ name: "model", coldRequestsPerS: 2, engine: { ...PROFILE, slots: 1, memoryTokens: 50_000 } }],
  [],
];

const commandArbitrary = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("place" as const),
      promptTokens: fc.constantFrom(0, 5_000, 45_000, 180_000, 900_000),
      service: fc.constantFrom("model", "plain", "unknown"),
    }),
  },
  fc.record({ kind: fc.constant("servers" as const), mask: fc.integer({ min: 0, max: 15 }) }),
  fc.record({
    kind: fc.constant("services" as const),
    at: fc.integer({ min: 0, max: SERVICES.length - 1 }),
  }),
  fc.record({ kind: fc.constant("advance" as const), ms: fc.integer({ min: 0, max: 3_000 }) }),
  fc.record({ kind: fc.constant("cancel" as const), at: fc.nat(30) }),
  fc.record({
    kind: fc.constant("finish" as const),
    at: fc.nat(30),
    outcome: fc.constantFrom(...Object.values(JOB_OUTCOME)),
  }),
);

test("each queued job is decided whatever servers and services change meanwhile", async (t) => {
  let queuedCount = 0;
  const property = fc.asyncProperty(
    fc.array(commandArbitrary, { maxLength: 60 }),
    async (commands) => {
      const clock = createManualClock();
      // One slot each, so that short prompts wait as well.
      const servers = makeServers(SERVER_COUNT).map((server) => ({ ...server, slots: 1 }));
      const placer = createPlacer({
        clock,
        retryLimits: { ratio: 0.2, slack: 10, windowMs: 10_000 },
        coldLimits: { multiplier: 1.5, slack: 5 },
        share: () => 1,
        canQueue: () => true,
        isUncoordinated: () => false,
        seed: "",
      });
      placer.setServices(SERVICES[0] ?? []);
      placer.setServers(servers);
      const decisions = new Map<string, PlacementDecision[]>();
      const pending: Promise<void>[] = [];
      for (const [at, command] of commands.entries()) {
        if (command.kind === "place") {
          const { service, promptTokens } = command;
          const id = `j${decisions.size}`;
          const decided: PlacementDecision[] = [];
          decisions.set(id, decided);
          const decision = placer.place(
            makeJob({ id, service, promptTokens, fingerprint: `f${at}` }),
          );
          if (decision instanceof Promise) {
            queuedCount += 1;
            pending.push(decision.then((settled) => void decided.push(settled)));
          } else decided.push(decision);
        } else if (command.kind === "servers") {
          placer.setServers(servers.filter((_, index) => (command.mask & (1 << index)) !== 0));
        } else if (command.kind === "services") placer.setServices(SERVICES[command.at] ?? []);
        else if (command.kind === "advance") clock.advance(command.ms);
        else if (command.kind === "cancel") {
          placer.finished(
            `j${command.at}`,
            JOB_OUTCOME.CANCELLED,
          );
        } else placer.finished(`j${command.at}`, command.outcome);
        placer.dispatchReady();
      }
      clock.advance(PAST_ALL_DEADLINES_MS);
      placer.dispatchReady();
      // Decisions are passed on in microtasks.
      await new Promise(setImmediate);
      t.true([...decisions.values()].every(({ length }) => length === 1));
    },
  );
  await fc.assert(property, { seed: 32, numRuns: 500 });
  t.true(queuedCount > 100, `${queuedCount} jobs were queued`);
});
