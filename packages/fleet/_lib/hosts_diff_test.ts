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

test("the first look names all hosts, and a look without a change names none", (t) => {
  const diff = createHostsDiff(() => [host("a"), host("b")]);
  t.deepEqual(diff.take(), { joined: [host("a"), host("b")], left: [] });
  t.is(diff.take(), undefined);
});

test("a host that started again counts as joined, one that is missing as left", (t) => {
  let hosts = [host("a"), host("b")];
  const diff = createHostsDiff(() => hosts);
  diff.take();
  hosts = [host("a", "2")];
  t.deepEqual(diff.take(), { joined: [host("a", "2")], left: ["b"] });
});
