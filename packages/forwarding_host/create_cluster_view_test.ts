import test from "ava";
import { TABLE } from "@jaypass/fleet";
import type { Row } from "@jaypass/fleet";
import type { Logger } from "@jaypass/kernel";
import { createClusterView } from "./create_cluster_view.ts";

const LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => LOG,
};

function setUp() {
  let recoveredAgoMs = Infinity;
  let changeCount = 0;
  const view = createClusterView({
    clock: { nowMs: () => 0, wallMs: () => 0 },
    log: LOG,
    storeRecoveredAgoMs: () => recoveredAgoMs,
    isHostAddress: (address) => address === "10.0.0.9:80",
    onChange: () => void (changeCount += 1),
  });
  let version = 1;
  const row = (key: string, value: unknown): Row => ({
    key,
    value: value === undefined ? undefined : JSON.stringify(value),
    version: version++,
  });
  return {
    view,
    write: (table: typeof TABLE[keyof typeof TABLE], key: string, value: unknown) =>
      view.apply(table, [row(key, value)]),
    setRecovered: (ms: number) => void (recoveredAgoMs = ms),
    usable: () => view.usableServers().map(({ id }) => id),
    changeCount: () => changeCount,
  };
}

const server = (id: string, changes = {}) => ({
  id,
  service: "model",
  address: `${id}:80`,
  dataCentre: "dc-a",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  bornMs: 1,
  ...changes,
});

const configuration = (version: number) => ({
  kind: "configuration",
  document: {
    version,
    routes: [],
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
});

test("a configuration is not replaced by an older one", (t) => {
  const { view, write } = setUp();
  write(TABLE.OPERATORS, "config", configuration(7));
  write(TABLE.OPERATORS, "config", configuration(5));
  t.is(view.configuration()?.version, 7);
  write(TABLE.OPERATORS, "config", undefined);
  t.is(view.configuration()?.version, 7);
});

test("a draining server and a server of an evacuated data centre are not usable", (t) => {
  const { view, write, usable } = setUp();
  write(TABLE.SERVERS, "s1", server("s1"));
  write(TABLE.SERVERS, "s2", server("s2", { dataCentre: "dc-b" }));
  write(TABLE.SERVERS, "s3", server("s3", { state: "draining" }));
  write(TABLE.OPERATORS, "evacuate/b", { kind: "evacuation", dataCentre: "dc-b" });
  t.deepEqual(usable(), ["s1"]);
  t.is(view.findServer("s2"), undefined);
  write(TABLE.OPERATORS, "evacuate/b", undefined);
  t.deepEqual(usable(), ["s1", "s2"]);
});

test("a removed server is not usable", (t) => {
  const { write, usable } = setUp();
  write(TABLE.SERVERS, "s1", server("s1"));
  write(TABLE.SERVERS, "s1", undefined);
  t.deepEqual(usable(), []);
});

test("a server whose row is missing after a store outage is kept for the grace period", (t) => {
  const { view, write, usable, setRecovered } = setUp();
  write(TABLE.SERVERS, "s1", server("s1"));
  write(TABLE.SERVERS, "s2", server("s2"));
  setRecovered(100);
  write(TABLE.SERVERS, "s1", undefined);
  write(TABLE.SERVERS, "s2", undefined);
  setRecovered(1_600);
  write(TABLE.SERVERS, "s2", server("s2"));
  view.removeMissingServers();
  const during = usable();
  setRecovered(2_600);
  view.removeMissingServers();
  t.deepEqual([during, usable()], [["s1", "s2"], ["s2"]]);
});

test("a server that leaves late in the grace period is not usable after it", (t) => {
  const { view, write, usable, setRecovered } = setUp();
  write(TABLE.SERVERS, "s1", server("s1"));
  setRecovered(2_100);
  write(TABLE.SERVERS, "s1", undefined);
  setRecovered(2_300);
  view.removeMissingServers();
  t.deepEqual(usable(), []);
});

test("a server that was draining before a store outage does not become usable by it", (t) => {
  const { write, usable, setRecovered } = setUp();
  write(TABLE.SERVERS, "s1", server("s1", { state: "draining" }));
  setRecovered(100);
  write(TABLE.SERVERS, "s1", undefined);
  t.deepEqual(usable(), []);
});

test("a server whose row cannot be used right after a store outage is not kept", (t) => {
  const { view, write, usable, setRecovered } = setUp();
  write(TABLE.SERVERS, "s1", server("s1"));
  setRecovered(100);
  view.apply(TABLE.SERVERS, [{ key: "s1", value: undefined, version: 9, problem: "odd" }]);
  t.deepEqual(usable(), []);
  write(TABLE.SERVERS, "s1", server("s1"));
  t.deepEqual(usable(), ["s1"]);
});

test("a server whose entry has the address of a host is not usable", (t) => {
  const { view, write, usable } = setUp();
  write(TABLE.SERVERS, "s1", server("s1"));
  write(TABLE.SERVERS, "odd", server("odd", { address: "10.0.0.9:80" }));
  t.deepEqual(usable(), ["s1"]);
  t.is(view.findServer("odd"), undefined);
});

test("a change of the hosts is reported, since it changes which servers are usable", (t) => {
  const { write, changeCount } = setUp();
  write(TABLE.HOSTS, "h9", { callerAddress: "10.0.0.9:80" });
  t.is(changeCount(), 1);
});
