import test from "ava";
import { chooseHubs } from "./choose_hubs.ts";
import type { HostEntry } from "./types.ts";

function makeHost(index: number, changes: Partial<HostEntry> = {}): HostEntry {
  return {
    host: `h${index}`,
    linkAddress: "",
    callerAddress: "",
    dataCentre: `dc${index % 3}`,
    weight: 0.5,
    incarnation: "",
    ...changes,
  };
}

const hosts = Array.from({ length: 18 }, (_, index) => makeHost(index));

test("the choice of hubs does not depend on the order of the hosts", (t) => {
  const chosen = chooseHubs(hosts).map(({ host }) => host);
  t.deepEqual(chooseHubs(hosts.toReversed()).map(({ host }) => host), chosen);
  t.is(chosen.length, 2);
});

test("the standby hub is in another data centre than the primary", (t) => {
  const [first, second] = chooseHubs(hosts);
  t.not(first?.dataCentre, second?.dataCentre);
});

test("removing a host that is not a hub does not change the hubs", (t) => {
  const [first, second] = chooseHubs(hosts);
  const rest = hosts.filter((entry) => entry === first || entry === second || entry.host > "h3");
  t.deepEqual(chooseHubs(rest), chooseHubs(hosts));
});

test("hosts with a larger weight are preferred as hubs", (t) => {
  for (let round = 0; round < 300; round++) {
    const [first] = chooseHubs([
      makeHost(0, { host: `weak-${round}`, weight: 0.2 }),
      makeHost(1, { host: `able-${round}`, weight: 0.8 }),
    ]);
    t.is(first?.host, `able-${round}`);
  }
});

test("a single host is its own only hub", (t) => {
  t.deepEqual(chooseHubs([makeHost(1)]).map(({ host }) => host), ["h1"]);
  t.deepEqual(chooseHubs([]), []);
});
