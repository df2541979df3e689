import test from "ava";
import { decideConnection } from "./decide_connection.ts";

const STATE = { open: 10, fromAddress: 2, idle: 3, limit: 100, addressLimit: 75 };

test("a connection is refused only beyond a limit, and idle ones give way first", (t) => {
  t.is(decideConnection(STATE), "accept");
  t.is(decideConnection({ ...STATE, open: 100 }), "replace_idle");
  t.is(decideConnection({ ...STATE, open: 100, idle: 0 }), "refuse");
  t.is(decideConnection({ ...STATE, open: 80, fromAddress: 75 }), "refuse_address");
});
