import { chooseAddresses, type ChooseAddressesOptions } from "./choose_addresses.ts";
import type { HostState, HostView } from "./types.ts";
import fc from "fast-check";
import test from "ava";

const DATA_CENTRES: ChooseAddressesOptions["dataCentres"] = {
  gent: { state: "in", oneWayMs: { brussel: 0.5, leuven: 0.7 } },
  brussel: { state: "in", oneWayMs: { gent: 0.5, leuven: 0.5 } },
  leuven: { state: "in", oneWayMs: { brussel: 0.5 } },
};
const names = Object.keys(DATA_CENTRES);

function host(n: number, state: HostState = "alive"): HostView {
  return {
    id: `h${n}`,
    incarnation: "1",
    dataCentre: names[n % 3]!,
    peerAddress: `10.0.0.${n}:7400`,
    callerUrl: `http://10.0.0.${n}:8080`,
    state,
  };
}
const hosts = Array.from({ length: 18 }, (_, n) => host(n));
const out = (name: string) => ({
  ...DATA_CENTRES,
  [name]: { ...DATA_CENTRES[name]!, state: "out" as const },
});

test("the nearest data centre comes first, and one that is out of service is omitted", (t) => {
  const chosen = (dataCentres: ChooseAddressesOptions["dataCentres"]) =>
    chooseAddresses({ hosts, dataCentres, callerDataCentre: "leuven", caller: "c", count: 18 })
      .map(({ dataCentre }) => dataCentre);
  const six = (name: string) => Array.from({ length: 6 }, () => name);
  t.deepEqual(chosen(DATA_CENTRES), [...six("leuven"), ...six("brussel"), ...six("gent")]);
  t.deepEqual(chosen(out("leuven")), [...six("brussel"), ...six("gent")]);
});

test("callers are spread evenly over the hosts", (t) => {
  const first = new Map<string, number>();
  for (let n = 0; n < 3_600; n++) {
    const [chosen] = chooseAddresses({
      hosts,
      dataCentres: DATA_CENTRES,
      caller: `c${n}`,
      count: 1,
    });
    first.set(chosen!.id, (first.get(chosen!.id) ?? 0) + 1);
  }
  t.is(first.size, 18);
  // 200 callers per host on average, with a standard deviation of 14; the hash is deterministic.
  for (const count of first.values()) t.true(count > 140 && count < 260);
});

test("hosts that are not alive or out of service are returned only when there is no better host", (t) => {
  const state = fc.constantFrom<HostState>("alive", "suspect", "dead", "leaving");
  const property = fc.property(fc.array(state, { maxLength: 12 }), (states) => {
    const some = states.map((value, n) => host(n, value));
    const dataCentres = out("gent");
    const chosen = chooseAddresses({ hosts: some, dataCentres, caller: "c", count: 20 });
    const good = some.filter((one) => one.state === "alive" && one.dataCentre !== "gent");
    if (good.length > 0) {
      return chosen.length === good.length && chosen.every((one) => good.includes(one));
    }
    return chosen.length === some.length;
  });
  t.notThrows(() => fc.assert(property, { seed: 4 }));
  const rest = [host(0), host(1, "dead"), host(2, "leaving"), host(4, "suspect")];
  const order = chooseAddresses({ hosts: rest, dataCentres: out("gent"), caller: "c", count: 4 });
  t.deepEqual(order.map(({ id }) => id), ["h4", "h2", "h1", "h0"]);
});
