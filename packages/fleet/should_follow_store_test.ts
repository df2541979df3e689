import test from "ava";
import { FALLBACK_FOLLOWER_COUNT } from "./constants.ts";
import { shouldFollowStore } from "./should_follow_store.ts";

const staleMs = 1_300;
const stale = { staleMs, hubAgeMs: 1_400, ageMs: 1_400 };
const fresh = { staleMs, hubAgeMs: 600, ageMs: 600 };

test("no other host reads the store while a hub does", (t) => {
  for (const rank of [0, FALLBACK_FOLLOWER_COUNT, 300]) {
    t.false(shouldFollowStore({ fallbackRank: rank, ...fresh }));
  }
});

test("only the fallback followers read the store as soon as no hub does", (t) => {
  t.true(shouldFollowStore({ fallbackRank: FALLBACK_FOLLOWER_COUNT - 1, ...stale }));
  t.false(shouldFollowStore({ fallbackRank: FALLBACK_FOLLOWER_COUNT, ...stale }));
});

test("fallback followers continue while the hubs receive rows only from them", (t) => {
  t.true(shouldFollowStore({ fallbackRank: 0, staleMs, hubAgeMs: 9_000, ageMs: 200 }));
  t.false(shouldFollowStore({ fallbackRank: 300, staleMs, hubAgeMs: 9_000, ageMs: 200 }));
});

test("the remaining hosts start one after another when no fallback follower succeeds", (t) => {
  const followers = (ageMs: number) =>
    Array.from({ length: 340 }, (_, rank) => rank)
      .filter((rank) => shouldFollowStore({ fallbackRank: rank, staleMs, hubAgeMs: ageMs, ageMs }))
      .length;
  t.deepEqual([1_400, 3_000, 5_000, 40_000].map(followers), [8, 11, 31, 340]);
});

test("a table with a longer poll interval is read later", (t) => {
  t.false(shouldFollowStore({ fallbackRank: 0, ...stale, staleMs: 2_550 }));
});
