import { chooseRingPeers } from "./choose_ring_peers.ts";
import test from "ava";

/** Steps from the first host to the farthest when every host passes a change on to its peers. */
function stepsToAll(count: number): number {
  const ids = Array.from({ length: count }, (_, n) => `h${n}`);
  const peersOf = (id: string) => chooseRingPeers(id, ids.filter((other) => other !== id));
  const reached = new Set(["h0"]);
  let edge = ["h0"];
  let steps = 0;
  while (reached.size < count) {
    edge = [...new Set(edge.flatMap(peersOf))].filter((id) => !reached.has(id));
    if (edge.length === 0) return Infinity;
    edge.forEach((id) => reached.add(id));
    steps++;
  }
  return steps;
}

test("each host has at most four distinct peers, and as many as there are others", (t) => {
  for (let count = 1; count <= 40; count++) {
    const ids = Array.from({ length: count }, (_, n) => `h${n}`);
    for (const id of ids) {
      const peers = chooseRingPeers(id, ids.filter((other) => other !== id));
      t.is(peers.length, Math.min(4, count - 1));
      t.is(new Set(peers).size, peers.length);
    }
  }
});

test("a change reaches every host over the peers, in at most 17 steps at 340 hosts", (t) => {
  for (const count of [2, 3, 5, 18, 60]) t.true(stepsToAll(count) <= count);
  t.true(stepsToAll(340) <= 17);
  t.log(stepsToAll(340));
});
