import test from "ava";
import { chooseTarget } from "./choose_target.ts";
import { ROUTE_KIND } from "./types.ts";
import type { Route, RouteTarget } from "./types.ts";

function makeRoute(targets: RouteTarget[]): Route {
  return {
    name: "r",
    host: "a.example",
    prefix: "/x/",
    kind: ROUTE_KIND.IDEMPOTENT,
    timeoutMs: 1_000,
    goalMs: 100,
    pauseGoalMs: 0,
    patienceMs: 1_000,
    priority: 1,
    targets,
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
  };
}

test("requests are divided among targets in proportion to their weights", (t) => {
  const route = makeRoute([{ service: "a", weight: 90 }, { service: "b", weight: 10 }]);
  const chosen = Array.from({ length: 100 }, (_, at) => chooseTarget(route, () => at / 100));
  t.is(chosen.filter((service) => service === "a").length, 90);
});

test("a target with weight 0 gets no requests", (t) => {
  const route = makeRoute([{ service: "a", weight: 0 }, { service: "b", weight: 1 }]);
  t.is(chooseTarget(route, () => 0), "b");
  t.is(chooseTarget(makeRoute([{ service: "a", weight: 0 }]), () => 0), undefined);
});
