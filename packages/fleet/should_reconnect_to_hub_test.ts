import test from "ava";
import { shouldReconnectToHub } from "./should_reconnect_to_hub.ts";

const LINK = {
  wasReady: true,
  heardAgoMs: 1_000,
  othersHeardAgoMs: [900],
  reconnectedAgoMs: Infinity,
};

test("a host connects again to a hub that fell silent together with the others", (t) => {
  t.true(shouldReconnectToHub(LINK));
  t.true(shouldReconnectToHub({ ...LINK, othersHeardAgoMs: [] }));
});

test("a host leaves a hub that is silent while another one is heard", (t) => {
  t.false(shouldReconnectToHub({ ...LINK, othersHeardAgoMs: [100] }));
});

test("a host leaves a hub that never worked, or failed soon after it was connected to again", (t) => {
  t.false(shouldReconnectToHub({ ...LINK, wasReady: false }));
  t.false(shouldReconnectToHub({ ...LINK, reconnectedAgoMs: 1_500 }));
});
