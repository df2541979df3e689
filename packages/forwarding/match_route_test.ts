import test from "ava";
import { indexConfiguration } from "./index_configuration.ts";
import { matchRoute } from "./match_route.ts";
import { ROUTE_KIND } from "./types.ts";
import type { Route } from "./types.ts";

function makeRoute(name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    kind: ROUTE_KIND.IDEMPOTENT,
    timeoutMs: 1_000,
    goalMs: 100,
    pauseGoalMs: 0,
    patienceMs: 5_000,
    priority: 1,
    targets: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
  };
}

const configuration = indexConfiguration({
  version: 1,
  routes: [
    makeRoute("short", "a.example", "/x/"),
    makeRoute("long", "a.example", "/x/y/"),
    makeRoute("other", "b.example", "/x/"),
  ],
  services: [],
  workspaces: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

test("the route with the longest matching prefix of the host is chosen", (t) => {
  const find = (host: string | undefined, target: string) =>
    matchRoute(configuration, host, target)?.name;
  t.deepEqual(
    [
      find("a.example", "/x/1"),
      find("A.example:8080", "/x/y/1?z=/q/"),
      find("b.example", "/x/y/1"),
      find("a.example", "/x"),
      find("c.example", "/x/"),
      find(undefined, "/x/"),
      find("a.example", "/?/x/"),
    ],
    ["short", "long", "other", undefined, undefined, undefined, undefined],
  );
});
