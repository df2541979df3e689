import test from "ava";
import { createLinkTraffic } from "./create_link_traffic.ts";

// Bytes that are counted twice or under a wrong kind would lead the search for savings astray.
test("bytes are summed by kind and direction, and each is passed on once", (t) => {
  const calls: unknown[] = [];
  const traffic = createLinkTraffic({ increment: (...args) => void calls.push(args) });
  traffic.count({ type: "ping" }, "sent", "123");
  traffic.count({ type: "ping" }, "sent", "ü");
  traffic.count({ type: "ping" }, "received", "1");
  traffic.count({ type: "report", report: { kind: "started" } }, "sent", "12");
  traffic.count({ type: "rows", table: "hosts" }, "received", "1234");
  traffic.flush();
  traffic.flush();
  t.deepEqual(calls, [
    ["link_bytes", { kind: "ping", direction: "sent" }, 5],
    ["link_bytes", { kind: "report_started", direction: "sent" }, 2],
    ["link_bytes", { kind: "ping", direction: "received" }, 1],
    ["link_bytes", { kind: "rows_hosts", direction: "received" }, 4],
  ]);
});
