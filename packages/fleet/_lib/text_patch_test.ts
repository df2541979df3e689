import test from "ava";
import fc from "fast-check";
import { applyTextPatch, createTextPatch } from "./text_patch.ts";

const describe = (routes: { name: string; timeoutMs: number }[], version = 1) =>
  JSON.stringify({ version, routes, services: [] });
const routes = Array.from({ length: 1_000 }, (_, at) => ({ name: `r${at}`, timeoutMs: 1_000 }));

test("applying a patch restores the newer text for arbitrary changes", (t) => {
  const list = fc.array(fc.record({ name: fc.string(), timeoutMs: fc.nat(9) }), { maxLength: 30 });
  fc.assert(fc.property(list, list, fc.nat(30), (left, right, at) => {
    const base = describe(left);
    const next = describe([...left.slice(0, at), ...right, ...left.slice(at + 1)], 2);
    const patch = createTextPatch(base, next);
    return patch === undefined || applyTextPatch(base, patch) === next;
  }));
  t.pass();
});

test("a patch of one changed, one added and one removed entry is small", (t) => {
  const changed = [
    ...routes.slice(0, 500),
    { name: "r500", timeoutMs: 2_000 },
    ...routes.slice(502),
  ];
  const next = describe([...changed, { name: "new", timeoutMs: 5 }], 2);
  const patch = createTextPatch(describe(routes), next);
  t.true(JSON.stringify(patch).length < 300);
  t.is(applyTextPatch(describe(routes), patch ?? []), next);
});

test("no patch is created for texts that have little in common", (t) => {
  t.is(createTextPatch(describe(routes.slice(0, 10)), describe(routes.slice(500))), undefined);
});

test("applying a patch to another text throws", (t) => {
  t.throws(() => applyTextPatch("a", [[0, 2]]), { instanceOf: RangeError });
});

test("a short patch that repeats a long text does not exhaust the memory", (t) => {
  const base = "x".repeat(1_000_000);
  const patch: [number, number][] = Array.from({ length: 200 }, () => [0, 1]);
  t.throws(() => applyTextPatch(base, patch), { instanceOf: RangeError });
});
