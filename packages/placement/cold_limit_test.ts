import test from "ava";
import { createPlacer } from "./create_placer.ts";
import { createManualClock, makeJob, makeServers } from "./_testing/fixtures.ts";
import { JOB_OUTCOME } from "./types.ts";

const HOST_COUNT = 18;
const SERVER_COUNT = 3;
const COLD_LIMITS = { multiplier: 1.5, slack: 5 };
const WINDOW_MS = 1_000;
const STEP_MS = 10;

/** Requests of all hosts per second, more than the cold servers take. */
const REQUESTS_PER_S = 100;

/** Phases of a loss of both hubs: they place, hosts place alone, and new hubs place. */
const PHASES = { lostMs: 2_000, newHubMs: 2_300, endMs: 6_000 };

/** Plays requests of all hosts and returns the most that a cold server got in any second. */
function playLossOfHubs(coldRequestsPerS: number) {
  const clock = createManualClock();
  const create = (options: { share: number; rank: number; hubSinceMs?: number }) => {
    const { share, rank, hubSinceMs = -Infinity } = options;
    const placer = createPlacer({
      clock,
      retryLimits: { ratio: 1, slack: 1_000, windowMs: 10_000 },
      coldLimits: COLD_LIMITS,
      share: () => share,
      rank: (serverId) => (rank + Number(serverId.slice(1)) * 5) % HOST_COUNT,
      knowsRecentSends: () => clock.nowMs() - hubSinceMs >= WINDOW_MS,
      canQueue: () => false,
      isUncoordinated: () => false,
      seed: String(rank),
    });
    placer.setServices([{ name: "plain", coldRequestsPerS }]);
    const servers = makeServers(SERVER_COUNT, "plain");
    placer.setServers(servers.map((server) => ({ ...server, slots: 100, coldUntilMs: Infinity })));
    return placer;
  };
  const hub = create({ share: 1, rank: 0 });
  const newHub = create({ share: 1, rank: 0, hubSinceMs: PHASES.newHubMs });
  const alone = Array.from(
    { length: HOST_COUNT },
    (_, rank) => create({ share: 1 / HOST_COUNT, rank }),
  );
  const sends: { serverId: string; atMs: number }[] = [];
  const servedAt = new Set<string>();
  let count = 0;
  while (clock.nowMs() < PHASES.endMs) {
    const now = clock.nowMs();
    const phase = now < PHASES.lostMs ? "hub" : now < PHASES.newHubMs ? "alone" : "new hub";
    const own = alone[count++ % HOST_COUNT];
    const placer = phase === "hub" ? hub : phase === "alone" ? own : newHub;
    const job = makeJob({ service: "plain", promptTokens: 0 });
    const decision = placer?.place(job);
    if (decision !== undefined && "serverId" in decision) {
      sends.push({ serverId: decision.serverId, atMs: now });
      servedAt.add(phase);
      placer?.finished(job.id, JOB_OUTCOME.ANSWERED);
    }
    clock.advance(1_000 / REQUESTS_PER_S);
  }
  let most = 0;
  for (let startMs = 0; startMs < PHASES.endMs; startMs += STEP_MS) {
    for (let at = 1; at <= SERVER_COUNT; at++) {
      const inWindow = sends.filter(({ serverId, atMs }) =>
        serverId === `s${at}` && atMs >= startMs && atMs < startMs + WINDOW_MS
      );
      most = Math.max(most, inWindow.length);
    }
  }
  return { most, servedAt: [...servedAt] };
}

// Guards against cold servers that crash because each host sends a request beside those of the hubs.
for (const coldRequestsPerS of [4, 10, 20, 36]) {
  test(`a loss of both hubs sends a cold server no more than it may get: ${coldRequestsPerS} a second`, (t) => {
    const { most, servedAt } = playLossOfHubs(coldRequestsPerS);
    const limit = coldRequestsPerS * COLD_LIMITS.multiplier + COLD_LIMITS.slack;
    t.true(most <= limit, `${most} of ${limit}`);
    t.deepEqual(servedAt, ["hub", "alone", "new hub"]);
  });
}
