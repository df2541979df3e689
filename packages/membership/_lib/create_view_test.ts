import { createView } from "./create_view.ts";
import type { HostRecord } from "./host_record.ts";
import { HOST_STATE } from "../types.ts";
import fc from "fast-check";
import test from "ava";

const recordOf = fc.record({
  id: fc.integer({ min: 0, max: 12 }).map((n) => `h${n}`),
  incarnation: fc.constantFrom("1", "2"),
  seq: fc.integer({ min: 0, max: 2 }),
  state: fc.constantFrom(...Object.values(HOST_STATE)),
  dataCentre: fc.constant("gent"),
  peerAddress: fc.constant("10.0.0.1:7400"),
  callerUrl: fc.constant("http://10.0.0.1:8080"),
});

function viewOf(records: HostRecord[]) {
  let version = 0;
  const clock = { nowMs: () => 0, wallMs: () => 0 };
  const view = createView({ clock, nextVersion: () => ++version, onChange() {} });
  for (const record of records) view.apply(record, undefined);
  return view;
}

const stateOf = (view: ReturnType<typeof viewOf>) =>
  [...view.entries()].map(({ record }) => record).filter(({ state }) => state !== "dead")
    .map(({ id, incarnation, seq, state }) => `${id} ${incarnation} ${seq} ${state}`).sort();

test("two views are equal after one summary, its answer and the wanted records", (t) => {
  const records = fc.array(recordOf, { maxLength: 30 });
  const property = fc.property(records, records, (left, right) => {
    const [caller, callee] = [viewOf(left), viewOf(right)];
    const { hosts, wants } = callee.compare(caller.summary());
    const wanted = caller.recordsByHash(wants);
    for (const record of hosts) caller.apply(record, "callee");
    for (const record of wanted) callee.apply(record, "caller");
    t.deepEqual(stateOf(caller), stateOf(callee));
    t.is(caller.checksum(), callee.checksum());
  });
  fc.assert(property, { seed: 4, numRuns: 300 });
});

test("the result of applying records does not depend on their order", (t) => {
  // Tombstones of unknown hosts are dropped, so each host is known before it can be dead.
  const known = Array.from({ length: 13 }, (_, n): HostRecord => ({
    id: `h${n}`,
    incarnation: "0",
    seq: 0,
    state: "alive",
    dataCentre: "gent",
    peerAddress: "10.0.0.1:7400",
    callerUrl: "http://10.0.0.1:8080",
  }));
  const property = fc.property(fc.array(recordOf, { maxLength: 30 }), (records) => {
    const forward = viewOf([...known, ...records]);
    const backward = viewOf([...known, ...[...records].reverse()]);
    t.deepEqual(stateOf(forward), stateOf(backward));
  });
  fc.assert(property, { seed: 4, numRuns: 300 });
});
