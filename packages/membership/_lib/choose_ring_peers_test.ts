import { chooseRingPeers } from "./choose_ring_peers.ts";
import test from "ava";

/** Number of steps in which a change of the first host reaches all hosts through their peers. */
function stepsToAll(count: number): number {
  const ids = Array.from({ length: count }, (_, n) => `h${n}`);
  const peersOf = (id: string) => chooseRingPeers(id, ids.filter((other) => other !== id));
  const reached = new Set(["h0"]);
  let frontier = ["h0"];
  let steps = 0;
  while (reached.size < count) {
    frontier = [...new Set(frontier.flatMap(peersOf))].filter((id) => !reached.has(id));
    if (frontier.length === 0) return Infinity;
    frontier.forEach((id) => reached.add(id));
    steps++;
  }
  return steps;
}

test("each host has four distinct peers, or all other hosts if there are fewer", (t) => {
  for (let count = 1; count <= 40; count++) {
    const ids = Array.from({ length: count }, (_, n) => `h${n}`);
    for (const id of ids) {
      const peers = chooseRingPeers(id, ids.filter((other) => other !== id));
      t.is(peers.length, Math.min(4, count - 1));
      t.is(new Set(peers).size, peers.length);
    }
  }
});

test("a change reaches every host through the peers, 340 hosts in at most 17 steps", (t) => {
  for (const count of [2, 3, 5, 18, 60]) t.true(stepsToAll(count) <= count);
  t.true(stepsToAll(340) <= 17);
  t.log(stepsToAll(340));
});
