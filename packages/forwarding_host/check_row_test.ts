import test from "ava";
import fc from "fast-check";
import { createRowCache, TABLE } from "@jaypass/fleet";
import type { Row, Table } from "@jaypass/fleet";
import type { Logger } from "@jaypass/kernel";
import { createPlacer } from "@jaypass/placement";
import { checkRow } from "./check_row.ts";
import { createClusterView } from "./create_cluster_view.ts";

const LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => LOG,
};

const SERVER = {
  id: "e1",
  service: "s",
  address: "10.0.0.1:80",
  dataCentre: "dc-a",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  bornMs: 1,
};
const CONFIGURATION = {
  kind: "configuration",
  document: {
    version: 3,
    routes: [{
      name: "r",
      host: "a.example",
      prefix: "/a/",
      kind: "idempotent",
      timeoutMs: 1_000,
      goalMs: 100,
      pauseGoalMs: 0,
      patienceMs: 1_000,
      priority: 0,
      targets: [{ service: "s", weight: 1 }],
      maxAttempts: 2,
      isPublic: true,
      isResumable: false,
    }],
    services: [{ name: "s", coldRequestsPerS: 0 }],
    workspaces: [{ name: "w", keys: ["k"] }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
};
const SOUND = { ...SERVER, id: "sound", address: "10.0.0.2:80" };

test("a valid row is returned as it is, an invalid one names its problem", (t) => {
  const valid: Row = { key: "e1", value: JSON.stringify(SERVER), version: 3 };
  t.is(checkRow(TABLE.SERVERS, valid), valid);
  for (const value of ["null", "{", "[]", JSON.stringify({ ...SERVER, slots: 1e300 })]) {
    const { problem, ...row } = checkRow(TABLE.SERVERS, { ...valid, value });
    t.deepEqual(row, { key: "e1", value: undefined, version: 3 });
    t.is(typeof problem, "string");
  }
  t.is(typeof checkRow(TABLE.SERVERS, { ...valid, key: "e2" }).problem, "string");
});

/** Replaces the value of one field, at any depth. */
const changed = (entry: object) =>
  fc.tuple(fc.array(fc.nat(12), { minLength: 1, maxLength: 5 }), fc.jsonValue()).map(
    ([path, value]) => {
      const copy = JSON.parse(JSON.stringify(entry));
      let target = copy;
      for (const [depth, at] of path.entries()) {
        const keys = Object.keys(target);
        const key = keys[at % keys.length];
        if (key === undefined) break;
        if (depth === path.length - 1 || Object(target[key]) !== target[key]) {
          target[key] = value;
          break;
        }
        target = target[key];
      }
      return JSON.stringify(copy);
    },
  );

const rowOf = (table: Table, entry: object) =>
  fc.record({
    table: fc.constant(table),
    key: fc.constantFrom("e1", "config", "", "__proto__", "constructor", "a/b", "x".repeat(200)),
    value: fc.oneof(fc.string(), fc.json(), changed(entry), fc.constant(undefined)),
    version: fc.nat(50),
  });

test("a sound server stays usable beside arbitrary rows, and the view keeps following", async (t) => {
  const rows = fc.array(
    fc.oneof(rowOf(TABLE.SERVERS, SERVER), rowOf(TABLE.OPERATORS, CONFIGURATION)),
    { maxLength: 20 },
  );
  await fc.assert(
    fc.asyncProperty(rows, async (list) => {
      const clock = { nowMs: () => 0, wallMs: () => 0 };
      const cache = createRowCache();
      const placer = createPlacer({
        clock,
        retryLimits: { ratio: 1, slack: 10, windowMs: 1_000 },
        coldLimits: { multiplier: 1, slack: 1 },
        share: () => 1,
        canQueue: () => false,
        isUncoordinated: () => false,
        seed: "",
      });
      const view = createClusterView({
        clock,
        log: LOG,
        storeRecoveredAgoMs: () => Infinity,
        isHostAddress: (address) => address === "10.0.0.9:80",
        onChange() {
          placer.setServices([...view.configuration()?.services.values() ?? []]);
          placer.setServers(view.usableServers());
        },
      });
      const apply = (table: Table, row: Row) => {
        const checked = checkRow(table, row);
        const batch = { revision: row.version, rows: [checked], isWhole: false, sinceRevision: 0 };
        view.apply(table, cache.apply(table, batch));
      };
      const write = (key: string, value: object, table: Table, version: number) =>
        apply(table, { key, value: JSON.stringify(value), version });
      write("sound", SOUND, TABLE.SERVERS, 1);
      for (const { table, key, value, version } of list) apply(table, { key, value, version });
      write("sound", { ...SOUND, slots: 5 }, TABLE.SERVERS, 100);
      const document = { ...CONFIGURATION.document, version: Number.MAX_SAFE_INTEGER };
      write("config", { ...CONFIGURATION, document }, TABLE.OPERATORS, 100);
      const others = view.usableServers().map(({ id }) => id).filter((id) => id !== "sound");
      const isEvacuated = !view.usableServers().some(({ id }) => id === "sound");
      const decision = await placer.place({
        id: "j",
        service: "s",
        promptTokens: 0,
        answerTokens: 0,
        goalMs: 100,
        pauseGoalMs: 0,
        remainingMs: 1_000,
        wholeWithinMs: 1_000,
        elapsedMs: 0,
        excludedIds: others,
        isRetry: false,
        fingerprint: "f",
        parts: [],
        isContinuation: false,
        isRepeatable: true,
      });
      return isEvacuated || decision.kind === "placed" && decision.serverId === "sound";
    }),
    { numRuns: 1_000 },
  );
  t.pass();
});
