import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import {
  ADDRESS_READ_INTERVAL_MS,
  ADMITTED_READS,
  MIN_ADDRESS_UNREAD_BYTES,
} from "../constants.ts";
import { createAddressReads } from "./create_address_reads.ts";

// One read of each of 300 connections took more than a small host may hold.
test("an address over its bound is not read until half has been parsed, and others are", (t) => {
  let pauses = 0;
  const reads = createAddressReads(0, () => pauses += 1);
  const flows: string[] = [];
  const create = (address: string, name: string) => {
    const reader = {
      address,
      isReady: () => false,
      updateFlow: () => void flows.push(`${name} ${reads.mayRead(reader) ? "on" : "off"}`),
    };
    reads.add(reader);
    return reader;
  };
  const [a, b, other] = [create("crowd", "a"), create("crowd", "b"), create("other", "other")];
  reads.count(a, MIN_ADDRESS_UNREAD_BYTES);
  t.deepEqual(flows, []);
  reads.count(b, 1);
  t.deepEqual(flows.splice(0), ["a off", "b off"]);
  t.true(reads.mayRead(other));
  reads.count(a, -MIN_ADDRESS_UNREAD_BYTES / 4);
  t.deepEqual(flows, []);
  reads.count(a, -MIN_ADDRESS_UNREAD_BYTES / 2);
  t.deepEqual(flows, ["a on", "b on"]);
  t.is(pauses, 1);
});

// Guards against requests that are never read behind the address of clients whose bytes wait for long.
test("connections whose bytes would be parsed are read in turns while their address is over its bound", async (t) => {
  const reads = createAddressReads(0, () => {});
  const admitted = new Set<string>();
  let most = 0;
  const create = (name: string, isReady: boolean) => {
    const reader = {
      address: "crowd",
      isReady: () => isReady,
      updateFlow() {
        if (reads.mayRead(reader)) admitted.add(name);
        most = Math.max(most, readers.filter((other) => reads.mayRead(other)).length);
      },
    };
    reads.add(reader);
    return reader;
  };
  const stuck = create("stuck", false);
  const readers = Array.from(
    { length: 3 * ADMITTED_READS },
    (_, index) => create(`${index}`, true),
  );
  reads.count(stuck, MIN_ADDRESS_UNREAD_BYTES + 1);
  t.is(admitted.size, 0);
  while (admitted.size < readers.length) await wait(ADDRESS_READ_INTERVAL_MS);
  t.false(admitted.has("stuck"));
  t.is(most, ADMITTED_READS);
  for (const reader of [stuck, ...readers]) reads.remove(reader);
});
