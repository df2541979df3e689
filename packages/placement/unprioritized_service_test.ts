import { createHash } from "node:crypto";
import test from "ava";
import { createEngineHub, makeArrivals, playLoad } from "./_testing/play_load.ts";
import type { PlacementJob } from "./types.ts";

/** Digest of the decisions on this load, recorded before there were shares and priorities. */
const RECORDED = "8e610cfffb49d031b3eddab7627dcc1843638e3b";

const LONG = { promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000, remainingMs: 15_000 };

/** Makes an overload of short, middle and long prompts, with retries and repeated content. */
function makeLoad(changes: (at: number) => Partial<PlacementJob>) {
  return [
    ...makeArrivals(1, 30, [0, 12_000], (at, random) => ({
      isRetry: random() < 0.1,
      fingerprint: `f${Math.floor(random() * 50)}`,
      promptTokens: random() < 0.2 ? 45_000 : 5_000,
      ...changes(at),
    })),
    ...makeArrivals(2, 1.5, [0, 12_000], (at) => ({ ...LONG, ...changes(at) })),
  ];
}

async function digestDecisions(arrivals: ReturnType<typeof makeLoad>) {
  const { clock, placer } = createEngineHub({ isPrioritized: false, servers: 3 });
  const played = await playLoad(placer, clock, { arrivals, untilMs: 16_000 });
  const lines = played.map(({ job, decision, decidedMs }) =>
    JSON.stringify([job.id, decision, decidedMs])
  );
  return createHash("sha1").update(lines.join("\n")).digest("hex");
}

test("without different priorities, each decision is the same as before there were shares", async (t) => {
  t.is(await digestDecisions(makeLoad(() => ({}))), RECORDED);
  const shares = (at: number) => ({ workspace: `w${at % 3}`, priority: at % 2, routePriority: 1 });
  t.is(await digestDecisions(makeLoad(shares)), RECORDED);
});
