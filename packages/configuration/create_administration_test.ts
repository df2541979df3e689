import test, { type ExecutionContext } from "ava";
import { exampleDocument, exampleEngine, exampleWorkspace } from "./_testing/example_document.ts";
import { createTestAdministration } from "./_testing/create_test_administration.ts";
import { createTestHosts } from "./_testing/create_test_hosts.ts";

const PATH = "/admin/v1/config";

/** Starts hosts with a document and serves the administration of each. */
async function startHosts(t: ExecutionContext, count: number) {
  const system = createTestHosts(count, exampleDocument());
  t.teardown(system.stop);
  const ready = AbortSignal.timeout(8_000);
  for (const { configuration } of system.hosts) await configuration.ready(ready);
  const admins = await Promise.all(system.hosts.map(createTestAdministration));
  t.teardown(() => Promise.all(admins.map((admin) => admin.close())));
  return { ...system, admins };
}

/** A request that sets one workspace. */
function setWorkspace(name: string, maxConcurrent: number, more: object = {}) {
  const entry = { ...exampleWorkspace(name), maxConcurrent };
  return { changes: [{ section: "workspaces", entries: { [name]: entry } }], why: "test", ...more };
}

test("documents, sections, diffs and history are served; other paths are left alone", async (t) => {
  const { admins: [admin] } = await startHosts(t, 1);
  t.is((await admin!.get("/v1/addresses")).status, 418);
  t.is((await admin!.get(`${PATH}uration`)).status, 418);
  t.is((await admin!.get(PATH)).body.revision, 1);
  t.deepEqual(
    (await admin!.get(`${PATH}/sections/workspaces`)).body.entries,
    exampleDocument().workspaces,
  );
  t.snapshot((await admin!.post(`${PATH}/diff`, setWorkspace("museum-0", 9))).body);
  const diff = { changes: setWorkspace("museum-0", 9).changes };
  t.snapshot((await admin!.post(`${PATH}/diff`, diff)).body);
  t.is((await admin!.get(`${PATH}/revision`)).body.revision, 1);

  await admin!.post(`${PATH}/apply`, setWorkspace("museum-0", 9), "tenants");
  await admin!.post(`${PATH}/apply`, setWorkspace("museum-1", 9), "tenants");
  const page = (await admin!.get(`${PATH}/history?limit=2`)).body;
  t.deepEqual(page.changes.map((change: { revision: number }) => change.revision), [3, 2]);
  t.is(page.changes[0].who, "tenants");
  t.is(page.nextBefore, 2);
  const rest = (await admin!.get(`${PATH}/history?before=2`)).body;
  t.deepEqual(rest.changes.map((change: { revision: number }) => change.revision), [1]);
});

test("requests without a right, with a wrong form or too large are refused clearly", async (t) => {
  const { admins: [admin] } = await startHosts(t, 1);
  const apply = `${PATH}/apply`;
  const server = {
    changes: [{ section: "backendServers", entries: { "gent-1": null } }],
    why: "x",
  };
  const answers = {
    unknownToken: await admin!.get(PATH, "nobody"),
    otherSection: await admin!.post(apply, setWorkspace("museum-0", 9), "operations"),
    otherSectionInState: await admin!.post(
      `${PATH}/data-centres/gent/state`,
      { state: "out", why: "x" },
      "tenants",
    ),
    notJson: await admin!.post(apply, "{"),
    noReason: await admin!.post(apply, { ...setWorkspace("a", 1), why: " " }),
    idWithoutBase: await admin!.post(apply, setWorkspace("a", 1, { changeId: "12345678" })),
    unknownKey: await admin!.post(apply, setWorkspace("a", 1, { force: true })),
    faultyEntry: await admin!.post(apply, setWorkspace("a", -1)),
    brokenReference: await admin!.post(apply, {
      changes: [{ section: "dataCentres", entries: { brussel: null } }],
      why: "x",
    }),
    unknownEntry: await admin!.post(`${PATH}/data-centres/leuven/state`, {
      state: "out",
      why: "x",
    }),
    unknownPath: await admin!.get(`${PATH}/nothing`),
    otherMethod: await admin!.get(apply),
    badLimit: await admin!.get(`${PATH}/history?limit=-1`),
  };
  t.snapshot(answers);
  t.is((await admin!.post(apply, " ".repeat(300_000))).status, 413);
  t.is((await admin!.get(`${PATH}/revision`)).body.revision, 1);
  t.is((await admin!.post(apply, server, "operations")).body.revision, 2);
});

test("of two operators racing for a data centre one wins and one sees the winner", async (t) => {
  const { admins, violations } = await startHosts(t, 2);
  for (let round = 1; round <= 10; round++) {
    const baseRevision = Math.max(
      ...await Promise.all(
        admins.map(async (admin) => (await admin.get(`${PATH}/revision`)).body.revision),
      ),
    );
    const state = round % 2 === 1 ? "out" : "in";
    const answers = await Promise.all(
      admins.map((admin, n) =>
        admin.post(`${PATH}/data-centres/gent/state`, {
          state,
          why: `operator ${n}`,
          baseRevision,
        })
      ),
    );
    const winner = answers.findIndex(({ status }) => status === 200);
    t.deepEqual(answers.map(({ status }) => status).sort(), [200, 409]);
    t.is(answers[1 - winner]!.body.error.change.why, `operator ${winner}`);
    t.is(answers[winner]!.body.revision, baseRevision + 1);
  }
  t.deepEqual(violations, []);
});

test("concurrent changes of different entries all succeed without a conflict", async (t) => {
  const { admins, hosts, violations } = await startHosts(t, 4);
  const answers = await Promise.all(
    admins.flatMap((admin, n) => [
      admin.post(`${PATH}/apply`, setWorkspace(`w${n}`, 1), "tenants"),
      admin.post(`${PATH}/apply`, {
        changes: [{ section: "backendServers", entries: { [`e${n}`]: exampleEngine(100 + n) } }],
        why: "test",
      }, "operations"),
    ]),
  );
  t.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
  t.deepEqual(
    answers.map(({ body }) => body.revision).sort((a, b) => a - b),
    [2, 3, 4, 5, 6, 7, 8, 9],
  );
  await hosts[0]!.configuration.catchUp(9, AbortSignal.timeout(8_000));
  t.is(hosts[0]!.configuration.document().backendServers.e3?.partition, 0);
  t.deepEqual(violations, []);
});

test("checks across sections run again on top of a concurrent change", async (t) => {
  // Each change alone is valid: one removes a model, the other adds a workspace that names it.
  const { admins, hosts: [, second] } = await startHosts(t, 2);
  const model = { ...exampleDocument().models.gids, version: "2" };
  await admins[0]!.post(`${PATH}/apply`, {
    changes: [{ section: "models", entries: { extra: model } }],
    why: "test",
  });
  await second!.configuration.catchUp(2, AbortSignal.timeout(8_000));
  second!.faults.beforeCommit = async () => {
    await admins[0]!.post(`${PATH}/apply`, {
      changes: [{ section: "models", entries: { extra: null } }],
      why: "test",
    });
  };
  const workspace = { ...exampleWorkspace("late"), models: ["extra"] };
  const answer = await admins[1]!.post(`${PATH}/apply`, {
    changes: [{ section: "workspaces", entries: { late: workspace } }],
    why: "test",
  });
  t.is(answer.status, 422);
  t.is(answer.body.error.issues[0].path, "workspaces.late.models.0");
});

for (const fault of ["lost", "late"] as const) {
  test(`a commit whose answer is ${fault} is stored once`, async (t) => {
    const { admins: [admin], hosts: [host], store } = await startHosts(t, 1);
    host!.faults.nextCommits = [fault];
    const answer = await admin!.post(`${PATH}/apply`, setWorkspace("museum-0", 9));
    t.is(answer.status, 200);
    t.is(answer.body.revision, 2);
    await new Promise((resolve) => setTimeout(resolve, 200));
    t.is(store.rows().get("config/head")?.version, 2);
    t.is(host!.configuration.revision(), 2);
  });

  test(`a commit whose answer is ${fault} loses to another writer without a trace`, async (t) => {
    const { admins, hosts: [host], store } = await startHosts(t, 2);
    host!.faults.nextCommits = [fault];
    host!.faults.beforeCommit = async () => {
      await admins[1]!.post(`${PATH}/apply`, setWorkspace("museum-0", 7));
    };
    const answer = await admins[0]!.post(`${PATH}/apply`, setWorkspace("museum-0", 9));
    t.is(answer.status, 409);
    t.is(answer.body.error.change.revision, 2);
    await new Promise((resolve) => setTimeout(resolve, 200));
    t.is(store.rows().get("config/head")?.version, 2);
  });
}

test("a repeat with the same change id on another host finds the stored change", async (t) => {
  const { admins } = await startHosts(t, 2);
  const request = setWorkspace("museum-0", 9, { baseRevision: 1, changeId: "repeat-123" });
  t.is((await admins[0]!.post(`${PATH}/apply`, request)).body.revision, 2);
  const repeat = await admins[1]!.post(`${PATH}/apply`, request);
  t.like(repeat, { status: 200, body: { revision: 2, changeId: "repeat-123" } });
});

test("a change on a host that is behind keeps what the operator saw elsewhere", async (t) => {
  const { admins, hosts } = await startHosts(t, 2);
  const late = hosts[1]!;
  late.network.setIsolated(true);
  const gent = { ...exampleDocument().dataCentres.gent, oneWayMs: { brussel: 0.7 } };
  await admins[0]!.post(`${PATH}/apply`, {
    changes: [{ section: "dataCentres", entries: { gent } }],
    why: "test",
  });
  const request = { state: "out", why: "test", baseRevision: 2 };
  t.is((await admins[1]!.post(`${PATH}/data-centres/gent/state`, request)).body.revision, 3);
  t.deepEqual(late.configuration.document().dataCentres.gent, { ...gent, state: "out" });
});

test("roll forward restores an earlier content as a new revision", async (t) => {
  const { admins: [admin], hosts: [host] } = await startHosts(t, 1);
  for (let n = 0; n < 60; n++) {
    await admin!.post(`${PATH}/apply`, setWorkspace(`w${n}`, 1));
  }
  t.is(host!.configuration.snapshot().snapshotRevision, 51);
  for (const toRevision of [1, 30, 55]) {
    const answer = await admin!.post(`${PATH}/roll-forward`, { toRevision, why: "test" });
    t.is(answer.status, 200);
    t.is(Object.keys(host!.configuration.document().workspaces).length, toRevision + 1);
  }
  t.is(host!.configuration.revision(), 64);
  t.is((await admin!.post(`${PATH}/roll-forward`, { toRevision: 99, why: "x" })).status, 404);
});

test("while the store is down a change is refused and nothing is stored later", async (t) => {
  const { admins: [admin], hosts: [host], store } = await startHosts(t, 1);
  host!.faults.isDown = true;
  const answer = await admin!.post(`${PATH}/apply`, setWorkspace("museum-0", 9));
  t.like(answer, { status: 503, body: { error: { reason: "store_unavailable" } } });
  host!.faults.isDown = false;
  t.is(store.rows().get("config/head")?.version, 1);
});

test("an unchanged state is confirmed without a new revision", async (t) => {
  const { admins: [admin] } = await startHosts(t, 1);
  const request = { state: "in", why: "test" };
  const answer = await admin!.post(`${PATH}/data-centres/gent/state`, request, "operations");
  t.like(answer.body, { revision: 1, isUnchanged: true });
});

test("the first document can be applied to an empty store, by one of two operators", async (t) => {
  const system = createTestHosts(2);
  t.teardown(system.stop);
  const admins = await Promise.all(system.hosts.map(createTestAdministration));
  t.teardown(() => Promise.all(admins.map((admin) => admin.close())));
  t.is((await admins[0]!.get(PATH)).body.error.reason, "not_ready");
  const changes = Object.entries(exampleDocument())
    .map(([section, entries]) => ({ section, entries }));
  const request = { changes, why: "First document", baseRevision: 0 };
  const answers = await Promise.all(
    admins.map((admin) => admin.post(`${PATH}/apply`, request)),
  );
  t.deepEqual(answers.map(({ status }) => status).sort(), [200, 409]);
  const ready = AbortSignal.timeout(8_000);
  for (const { configuration } of system.hosts) await configuration.ready(ready);
  t.is(system.hosts[1]!.configuration.document().backendServers["gent-1"]?.partition, 0);
  t.deepEqual(system.violations, []);
});
