import test from "ava";
import { MAX_TRACKED_WORKSPACES, USAGE_DECAY_MS } from "./constants.ts";
import { createWorkspaceUsage } from "./create_workspace_usage.ts";
import { createManualClock } from "./_testing/fixtures.ts";

test("work decays, and older work that is reported counts as much as work that was seen", (t) => {
  const clock = createManualClock();
  const usage = createWorkspaceUsage(clock);
  usage.add("m", "seen", 1_000);
  clock.advance(USAGE_DECAY_MS);
  usage.add("m", "reported", 1_000, USAGE_DECAY_MS);
  t.is(Math.round(usage.usedMs("m", "seen")), 368);
  t.is(Math.round(usage.usedMs("m", "reported")), 368);
});

test("the share is equal among the workspaces that have recent work or wait", (t) => {
  const clock = createManualClock();
  const usage = createWorkspaceUsage(clock);
  usage.add("m", "a", 900);
  usage.add("m", "b", 300);
  usage.add("other", "c", 5_000);
  t.is(usage.shareMs("m", new Set(["a"])), 600);
  t.is(usage.shareMs("m", new Set(["a", "new"])), 400);
  clock.advance(20 * USAGE_DECAY_MS);
  t.is(usage.shareMs("m", new Set()), 0);
});

test("the least recent of too many workspaces is dropped, also from the total", (t) => {
  const usage = createWorkspaceUsage(createManualClock());
  usage.add("m", "large", 1e9);
  for (let at = 0; at < MAX_TRACKED_WORKSPACES; at++) usage.add("m", `w${at}`, 10);
  t.is(usage.usedMs("m", "large"), 0);
  t.is(Math.round(usage.shareMs("m", new Set())), 10);
});
