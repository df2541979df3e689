import test from "ava";
import { rankAmongHosts } from "./rank_among_hosts.ts";

const HOSTS = Array.from({ length: 18 }, (_, index) => `h${index}`);

test("each host has a rank of its own for a key, whatever the order of the list", (t) => {
  const ranks = HOSTS.map((host) => rankAmongHosts(host, { hosts: HOSTS, key: "s1" }));
  t.deepEqual(ranks.toSorted((a, b) => a - b), [...HOSTS.keys()]);
  const hosts = HOSTS.toReversed();
  t.deepEqual(HOSTS.map((host) => rankAmongHosts(host, { hosts, key: "s1" })), ranks);
});

test("other hosts come first for other keys", (t) => {
  const first = (key: string) =>
    HOSTS.find((host) => rankAmongHosts(host, { hosts: HOSTS, key }) === 0);
  t.true(new Set(Array.from({ length: 40 }, (_, index) => first(`s${index}`))).size > 10);
});
