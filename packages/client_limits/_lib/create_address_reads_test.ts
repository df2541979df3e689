import test from "ava";
import { MIN_ADDRESS_UNREAD_BYTES } from "../constants.ts";
import { createAddressReads } from "./create_address_reads.ts";

// One read of each of 300 connections took more than a small host may hold.
test("an address over its bound is not read until half has been parsed, and others are", (t) => {
  let pauses = 0;
  const reads = createAddressReads(0, () => pauses += 1);
  const flows: string[] = [];
  const create = (address: string, name: string) => {
    const reader = {
      address,
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
