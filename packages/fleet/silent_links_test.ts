import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import {
  HUB_RETRY_DELAY_MS,
  LINK_CONNECT_TIMEOUT_MS,
  LINK_IDLE_TIMEOUT_MS,
  VIEW_INTERVAL_MS,
} from "./constants.ts";
import { serverKeysOf, startHosts, waitUntil } from "./_testing/start_fleet_hosts.ts";
import type { TestHost } from "./_testing/start_fleet_hosts.ts";
import { TABLE } from "./types.ts";

const openSockets = new Set<Socket>();
for (const channel of ["net.client.socket", "net.server.socket"]) {
  subscribe(channel, (message) => {
    const { socket } = message as { socket: Socket };
    openSockets.add(socket);
    socket.once("close", () => openSockets.delete(socket));
  });
}

/** Has all open links go silent for good, without a close or a reset; new ones work. */
function muteLinks(): void {
  for (const socket of openSockets) {
    socket.write = () => true;
    socket.push = () => true;
  }
}

/** Time from the silence within which hosts have noticed it and are linked again. */
const RECOVERY_MS = LINK_IDLE_TIMEOUT_MS + LINK_CONNECT_TIMEOUT_MS + VIEW_INTERVAL_MS;

// Guards against a change of all hubs, which know neither the running jobs nor the use of the limits.
for (const jobsAtOnce of [0, 3]) {
  test.serial(`hosts keep their hub when all links go silent at once, with ${jobsAtOnce} jobs sent on each`, async (t) => {
    const { store, hosts, hub } = await startHosts(t, 12);
    const place = ({ fleet }: TestHost) => fleet.place("job", { answerMs: 200, waitMs: 1_000 });
    await waitUntil(async () => {
      const placed = await Promise.all(hosts.map(place));
      return placed.every((job) => job?.by === hub.entry.host);
    });
    const startMs = performance.now();
    muteLinks();
    store.write(TABLE.SERVERS, "e1", "{}");
    for (const host of hosts) for (let at = 0; at < jobsAtOnce; at++) void place(host);
    await wait(RECOVERY_MS);
    t.true(hosts.every((host) => serverKeysOf(host).includes("e1")));
    while (performance.now() - startMs < RECOVERY_MS + HUB_RETRY_DELAY_MS) {
      const placed = await Promise.all(hosts.map(place));
      t.deepEqual([...new Set(placed.map((job) => job?.by))], [hub.entry.host]);
      await wait(200);
    }
  });
}
