import test from "ava";
import { FALLBACK_FOLLOWER_COUNT } from "./constants.ts";
import { shouldFollowStore } from "./should_follow_store.ts";

const stale = { hubAgeMs: 1_400, viewAgeMs: 1_400 };
const fresh = { hubAgeMs: 600, viewAgeMs: 600 };

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
  t.true(shouldFollowStore({ fallbackRank: 0, hubAgeMs: 9_000, viewAgeMs: 200 }));
  t.false(shouldFollowStore({ fallbackRank: 300, hubAgeMs: 9_000, viewAgeMs: 200 }));
});

test("the remaining hosts start one after another when no fallback follower succeeds", (t) => {
  const followers = (viewAgeMs: number) =>
    Array.from({ length: 340 }, (_, rank) => rank)
      .filter((rank) => shouldFollowStore({ fallbackRank: rank, hubAgeMs: viewAgeMs, viewAgeMs }))
      .length;
  t.deepEqual([1_400, 3_000, 5_000, 40_000].map(followers), [8, 11, 31, 340]);
});
