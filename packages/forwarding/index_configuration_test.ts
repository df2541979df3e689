import test from "ava";
import { chooseUrgency } from "./_lib/choose_urgency.ts";
import { describeJob } from "./_lib/describe_job.ts";
import { findPriority } from "./_lib/find_priority.ts";
import { indexConfiguration } from "./index_configuration.ts";
import type { Route, Workspace } from "./types.ts";

function index(routes: Partial<Route>[], workspaces?: Partial<Workspace>[]) {
  const targets = [{ service: "m", weight: 1 }];
  return indexConfiguration({
    version: 1,
    routes: routes.map((route) =>
      ({ priority: 0, targets, isPublic: false, kind: "streaming", ...route }) as Route
    ),
    services: [{ name: "m", coldRequestsPerS: 0 }, { name: "other", coldRequestsPerS: 0 }],
    workspaces: workspaces?.map((workspace, at) => ({ name: `w${at}`, keys: [], ...workspace })),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });
}

const isPrioritized = (configuration: ReturnType<typeof index>) =>
  [...configuration.services.values()].map((service) => service.isPrioritized === true);

test("a service is prioritized only if its streaming routes have different priorities", (t) => {
  const other = { targets: [{ service: "other", weight: 1 }], priority: 2 };
  const cases = [
    index([{}, {}, other], [{}, {}]),
    index([{}, { priority: 1 }, other]),
    index([{}, other], [{ priority: 0 }, { priority: 1 }]),
    index([{ priority: 1 }, other], [{ priority: 1 }, {}]),
    index([{ isPublic: true }], [{ priority: 3 }, {}]),
    index([{}, { priority: 1, kind: "idempotent" }, other]),
    index([{}, { priority: 1 }], [{ priority: 0 }, { priority: 1 }]),
  ];
  t.deepEqual(cases.map(isPrioritized), [
    [false, false],
    [true, false],
    [false, false],
    [false, false],
    [false, false],
    [false, false],
    [true, false],
  ]);
  const [equal] = cases;
  t.deepEqual(equal?.services.get("m"), { name: "m", coldRequestsPerS: 0 });
});

test("the urgency at the engine follows the priority first where routes differ, else the length only", (t) => {
  const configuration = index([{}, { priority: 1 }, { priority: 2 }]);
  const all = configuration.services.get("m")?.priorities;
  const urgencies = configuration.routes.map((route) =>
    [5_000, 20_000, 90_000, 300_000].map((tokens) =>
      chooseUrgency(tokens, findPriority(configuration, { route, workspace: undefined }), all)
    )
  );
  t.deepEqual(urgencies, [[0, 0, 1, 2], [3, 4, 5, 5], [6, 7, 8, 9]]);
  const [low] = configuration.routes.slice(-1);
  const equal = index([{}], [{ priority: 0 }, { priority: 1 }]);
  const own = low && findPriority(equal, { route: low, workspace: "w1" });
  t.deepEqual(own, { priority: 1, routePriority: 2 });
  t.is(chooseUrgency(5_000, own, equal.services.get("m")?.priorities), 2);
});

test("a job states its workspace and priorities only for a service with priorities", (t) => {
  const describe = (configuration: ReturnType<typeof index>) => {
    const context = {
      clock: { nowMs: () => 0 },
      createJobId: (id: string) => id,
      configuration: () => configuration,
      notices: { listUnusable: () => [] },
      stop: { time: () => undefined },
      listServers: () => [],
    };
    const [route] = configuration.routes;
    const request = { service: "m", workspace: "w1", route, metadata: {} };
    const state = { excludedIds: [], sendCount: 0 };
    const handler = { resumeAfter: () => undefined };
    const job = describeJob(context as never, request as never, state as never, handler as never);
    return [job.workspace, job.priority, job.routePriority];
  };
  const routes = [{ priority: 2 }, { priority: 3 }];
  const workspaces = [{ priority: 0 }, { priority: 1 }];
  t.deepEqual(describe(index(routes, workspaces)), ["w1", 1, 2]);
  t.deepEqual(describe(index(routes.slice(0, 1), workspaces)), [undefined, undefined, undefined]);
});
