import test from "ava";
import { createHostsDiff } from "./hosts_diff.ts";
import type { HostEntry } from "../types.ts";

const host = (name: string, incarnation = "1"): HostEntry => ({
  host: name,
  linkAddress: "",
  callerAddress: "",
  dataCentre: "",
  weight: 1,
  incarnation,
});

test("the first change lists all hosts, and without a change there is none", (t) => {
  const diff = createHostsDiff(() => [host("a"), host("b")]);
  t.deepEqual(diff.takeChange(), { joined: [host("a"), host("b")], left: [] });
  t.is(diff.takeChange(), undefined);
});

test("a restarted host counts as joined and a missing one as left", (t) => {
  let hosts = [host("a"), host("b")];
  const diff = createHostsDiff(() => hosts);
  diff.takeChange();
  hosts = [host("a", "2")];
  t.deepEqual(diff.takeChange(), { joined: [host("a", "2")], left: ["b"] });
});

test("a host that left before the next change counts as left if it was sent", (t) => {
  let hosts = [host("a")];
  const diff = createHostsDiff(() => hosts);
  diff.takeChange();
  hosts = [host("a"), host("b"), host("c")];
  t.deepEqual(diff.listAll(), hosts);
  hosts = [host("a"), host("c")];
  t.deepEqual(diff.takeChange(), { joined: [host("c")], left: ["b"] });
  hosts = [host("a")];
  t.deepEqual(diff.takeChange(), { joined: [], left: ["c"] });
  t.is(diff.takeChange(), undefined);
});
