import { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createCallerTimeouts } from "./create_caller_timeouts.ts";
import { createClock } from "./create_clock.ts";

for (const isThere of [true, false]) {
  // A request whose headers wait for their turn would be refused as late.
  test(
    `a connection whose headers ${
      isThere ? "wait to be parsed" : "are missing"
    } at their timeout is ${isThere ? "kept" : "closed"}`,
    async (t) => {
      const timeouts = createCallerTimeouts({ clock: createClock(), idleTimeoutMs: () => 1_000 });
      const socket = new Socket();
      let isClosed = false;
      timeouts.handleHeaderTimeout(
        socket,
        () => void (isClosed = true),
        () => isThere && timeouts.requestArrived(socket),
      );
      await wait(200);
      t.is(isClosed, !isThere);
    },
  );
}
