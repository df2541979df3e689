import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour, TestHostOptions } from "./_testing/create_test_host.ts";
import { TOKEN_ENGINE } from "./_testing/token_engine.ts";
import { ROUTE_KIND } from "./types.ts";

/** A stop in which no other host accepts callers, 3.08 s after its signal. */
const LATE = { elapsedMs: 3_080, remainingMs: 4_420, isNeeded: true };

/** Time to the first byte that leaves time for a silence of the server as well. */
const FAST_MS = 300;

const SEALED = { Attempt: "a1", Seal: "s" };
const EVENT = "id: 1\ndata: x\n\n";
const answer: ServerBehaviour = (_req, res) => void res.writeHead(200, SEALED).end(EVENT);

/** A prompt whose answer takes 1.8 s once it has begun. */
const PROMPT: CallOptions = {
  kind: ROUTE_KIND.STREAMING,
  answerTokens: 1_800,
  deadlineMs: 9_000,
};

async function startHost(
  t: ExecutionContext,
  { servers = [answer, answer], ...options }: TestHostOptions & { servers?: ServerBehaviour[] },
) {
  const host = await createTestHost(servers, {
    engine: TOKEN_ENGINE,
    timeoutMs: 9_000,
    ...options,
  });
  t.teardown(() => host.close());
  return host;
}

/** Places each attempt on the next server, with the expected time to the first byte given for it. */
function placeInTurn(expectedMs: readonly number[]): (job: PlacementJob) => PlacementDecision {
  let next = 0;
  return () => {
    const at = next++;
    const serverId = String(at);
    const places = { serverId, helperIds: [], tickets: [], partMs: 0 };
    return { kind: "placed", ...places, expectedMs: expectedMs[at] ?? 0 };
  };
}

test("a prompt whose read alone takes too long for a stopping host is refused before it is placed", async (t) => {
  let placements = 0;
  const place = placeInTurn([FAST_MS]);
  const host = await startHost(t, {
    place(job) {
      placements += 1;
      return place(job);
    },
  });
  host.stop(LATE);
  // Two engines share a read of 4 s.
  const { status } = await host.call({ ...PROMPT, answerTokens: 500, promptTokens: 400_000 });
  t.deepEqual({ status, placements }, { status: 503, placements: 0 });
});
