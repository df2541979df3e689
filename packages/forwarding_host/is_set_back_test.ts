import test from "ava";
import { TABLE } from "@jaypass/fleet";
import type { Row } from "@jaypass/fleet";
import { isSetBack } from "./is_set_back.ts";

const row = (value: unknown): Row => ({
  key: "a",
  value: value === undefined ? undefined : JSON.stringify(value),
  version: 1,
});
const configuration = (version: number) => row({ kind: "configuration", document: { version } });
const evacuation = row({ kind: "evacuation", dataCentre: "dc-a" });
const READY = row({ state: "ready" });
const DRAINING = row({ state: "draining" });
const REMOVED = row(undefined);

test("a restored store does not make a server usable that leaves or has left", (t) => {
  t.true(isSetBack(TABLE.SERVERS, { known: DRAINING, restored: READY }));
  t.true(isSetBack(TABLE.SERVERS, { known: REMOVED, restored: READY }));
  t.false(isSetBack(TABLE.SERVERS, { known: READY, restored: READY }));
  t.false(isSetBack(TABLE.SERVERS, { known: READY, restored: DRAINING }));
  t.false(isSetBack(TABLE.SERVERS, { known: DRAINING, restored: REMOVED }));
});

test("a restored store does not replace a configuration by an older one", (t) => {
  t.true(isSetBack(TABLE.OPERATORS, { known: configuration(5), restored: configuration(4) }));
  t.false(isSetBack(TABLE.OPERATORS, { known: configuration(5), restored: configuration(5) }));
  t.false(isSetBack(TABLE.OPERATORS, { known: configuration(5), restored: configuration(6) }));
  t.false(isSetBack(TABLE.OPERATORS, { known: REMOVED, restored: configuration(4) }));
  t.false(isSetBack(TABLE.OPERATORS, { known: REMOVED, restored: evacuation }));
});
