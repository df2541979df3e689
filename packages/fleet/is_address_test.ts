import test from "ava";
import { isAddress } from "./is_address.ts";

test("an IP address with a port is accepted", (t) => {
  for (const text of ["10.0.0.1:1", "255.255.255.255:65535", "127.0.0.1:80"]) {
    t.true(isAddress(text));
  }
});

const INVALID = [
  "",
  ":",
  ":80",
  "10.0.0.1",
  "10.0.0.1:",
  "10.0.0.1:0",
  "10.0.0.1:65536",
  "10.0.0.1:99999",
  "10.0.0.1:8e1",
  "10.0.0.1: 80",
  "10.0.0.1:-80",
  "999.1:80",
  "999.1.1.1:80",
  "10.0.0:80",
  "host:80",
  "10.0.0.1:80\n",
  `10.0.0.1:${"0".repeat(100_000)}80`,
];
for (const text of INVALID) {
  test(`"${text.slice(0, 30)}" is not accepted as an address`, (t) => t.false(isAddress(text)));
}
