import test from "ava";
import { chooseEngines } from "./choose_engines.ts";
import { chooseLeastLoaded } from "./choose_least_loaded.ts";
import { PACKED_SLOTS_SHARE } from "./constants.ts";
import { createServerLoad } from "./create_server_load.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import type { PlacementJob } from "./types.ts";

/** Makes servers in data centres `a`, `b` and `c` by turns, with numbers of decoding requests. */
function setUp(decoding: number[]) {
  const clock = createManualClock();
  const loads = makeServers(decoding.length).map((server, index) =>
    createServerLoad({ ...server, dataCentre: "abc"[index % 3] ?? "a" }, {
      clock,
      profile: PROFILE,
    })
  );
  const add = (index: number, job: PlacementJob) => {
    loads[index]?.add(job, { prefillMs: 0, memoryTokens: 6_000, isPrimary: true });
    loads[index]?.markDecoding(job.id);
  };
  decoding.forEach((count, index) => {
    for (let request = 0; request < count; request++) add(index, makeJob());
  });
  const choose = (changes: Partial<PlacementJob>) =>
    chooseEngines(makeJob(changes), loads, {
      profile: PROFILE,
      waitedMs: 0,
      remainingMs: 15_000,
      packedShare: PACKED_SLOTS_SHARE,
    });
  return { loads, add, choose };
}

test("of engines that decode, are below the packed share and about equally packed, a prompt gets one in its data centre", (t) => {
  const { choose } = setUp([4, 2, 3, 0, 0, 0]);
  const idOf = (dataCentre?: string) => choose({ dataCentre })?.primary.server.id;
  t.deepEqual(["a", "b", "c", undefined, "gone"].map(idOf), ["s1", "s2", "s3", "s1", "s1"]);
});

test("no idle engine is used, no share exceeded and no prompt made late for the data centre", (t) => {
  t.is(setUp([0, 2, 0]).choose({ dataCentre: "a" })?.primary.server.id, "s2");
  t.is(setUp([1, 4, 0]).choose({ dataCentre: "a" })?.primary.server.id, "s2", "packed less");
  t.is(setUp([5, 2, 0]).choose({ dataCentre: "a" })?.primary.server.id, "s2");
  const { choose, loads } = setUp([2, 2, 0]);
  loads[0]?.add(makeJob(), { prefillMs: 70, memoryTokens: 0, isPrimary: false });
  t.is(choose({ dataCentre: "a" })?.primary.server.id, "s2", "later by more than a pass");
  loads[0]?.add(makeJob({ promptTokens: 180_000 }), {
    prefillMs: 900,
    memoryTokens: 0,
    isPrimary: false,
  });
  t.is(choose({ dataCentre: "a" })?.primary.server.id, "s2");
});

test("packing uses as many engines with the preference as without, and more requests stay in their data centre", (t) => {
  const play = (isPreferred: boolean) => {
    const { loads, add, choose } = setUp(Array.from({ length: 24 }, () => 0));
    const running: { index: number; id: string }[] = [];
    let local = 0;
    let used = 0;
    for (let count = 0; count < 600; count++) {
      const home = "abc"[count * 7 % 3] ?? "a";
      const job = makeJob(isPreferred ? { dataCentre: home } : {});
      const primary = choose(job)?.primary;
      if (primary === undefined) return t.fail("no engine") as never;
      if (primary.server.dataCentre === home) local += 1;
      const index = loads.indexOf(primary);
      add(index, job);
      running.push({ index, id: job.id });
      // Of 40 running requests one ends, each time another engine's.
      if (running.length > 40) {
        const [ended] = running.splice(count * 13 % running.length, 1);
        if (ended !== undefined) loads[ended.index]?.remove(ended.id);
      }
      used += loads.filter((load) => load.requests() > 0).length;
    }
    return { local: local / 600, used: used / 600 };
  };
  const preferred = play(true);
  const plain = play(false);
  t.log({ preferred, plain });
  t.true(preferred.local > plain.local);
  t.true(preferred.used <= plain.used + 0.5, "idle engines stay idle");
});

test("equally loaded servers of a plain service are chosen by data centre, a busier one is not", (t) => {
  const { loads, add } = setUp([0, 0, 0]);
  const idOf = (dataCentre: string) => chooseLeastLoaded(loads, dataCentre)?.primary.server.id;
  t.deepEqual(["a", "b", "c"].map(idOf), ["s1", "s2", "s3"]);
  add(1, makeJob());
  t.not(idOf("b"), "s2");
});
