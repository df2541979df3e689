import test from "ava";
import { orderWaitingJobs } from "./order_waiting_jobs.ts";
import type { OrderedJob } from "./order_waiting_jobs.ts";
import { makeJob } from "./_testing/fixtures.ts";
import type { PlacementJob } from "./types.ts";

type Item = OrderedJob & { name: string };

function makeItem(name: string, job: Partial<PlacementJob>, more: Partial<OrderedJob> = {}): Item {
  return { name, job: makeJob({ goalMs: 1_000, ...job }), waitedMs: 0, engineMs: 100, ...more };
}

function order(items: Item[], used: Record<string, number> = {}, share = 0) {
  const options = { usedMs: (name: string) => used[name] ?? 0, shareMs: () => share };
  return orderWaitingJobs(items, (item) => item, options).map(({ name }) => name);
}

test("the more urgent priority goes first, and that of the route decides among equals", (t) => {
  const items = [
    makeItem("c", { priority: 1, routePriority: 0 }),
    makeItem("b", { priority: 0, routePriority: 2 }),
    makeItem("a", { routePriority: 1 }),
  ];
  t.deepEqual(order(items), ["a", "b", "c"]);
});

test("a job moves up one step for each half of its goal, so that it does not starve", (t) => {
  const items = [
    makeItem("late", { priority: 5 }, { waitedMs: 1_000 }),
    makeItem("half", { priority: 5 }, { waitedMs: 500 }),
    makeItem("middle", { priority: 2 }),
    makeItem("urgent", { priority: 0 }),
  ];
  t.deepEqual(order(items), ["late", "urgent", "half", "middle"]);
});

test("a workspace below its share goes first until its waiting jobs would use it up", (t) => {
  const items = [
    makeItem("large", { workspace: "large" }),
    makeItem("small 1", { workspace: "small" }),
    makeItem("small 2", { workspace: "small" }),
    makeItem("small 3", { workspace: "small" }),
    makeItem("public", {}),
  ];
  t.deepEqual(order(items, { large: 500, small: 20 }, 150), [
    "small 1",
    "small 2",
    "public",
    "large",
    "small 3",
  ]);
});

test("callers that came back as told go before new ones, and those that came early after them", (t) => {
  const items = [
    makeItem("early", {}, { returned: { isEarly: true, sinceFirstMs: 100 } }),
    makeItem("new", {}),
    makeItem("told", {}, { returned: { isEarly: false, sinceFirstMs: 900 } }),
  ];
  t.deepEqual(order(items), ["told", "new", "early"]);
});
