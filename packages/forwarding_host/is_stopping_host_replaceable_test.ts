import test from "ava";
import { isStoppingHostReplaceable } from "./is_stopping_host_replaceable.ts";

test("half of the usual other hosts replace a stopping one", (t) => {
  t.true(isStoppingHostReplaceable({ readyHosts: 9, usualHosts: 17 }));
  t.false(isStoppingHostReplaceable({ readyHosts: 8, usualHosts: 17 }));
});

test("nothing replaces the only host of its system", (t) => {
  t.false(isStoppingHostReplaceable({ readyHosts: 0, usualHosts: 0 }));
});
