import test from "ava";
import { UNANSWERED_LOSS_SHARE } from "./constants.ts";
import { weighDelayedReaders } from "./weigh_delayed_readers.ts";

const reader = (slackMs: number, deadlineSlackMs: number) => ({
  slackMs,
  deadlineSlackMs,
  weight: 10,
});

test("a request counts when the read takes longer than it can wait", (t) => {
  t.is(weighDelayedReaders([reader(100, 9_000)], 99), 0);
  t.is(weighDelayedReaders([reader(100, 9_000)], 101), 10);
});

test("a request that would miss its deadline counts several times", (t) => {
  t.is(weighDelayedReaders([reader(-500, 100)], 101), 10 * UNANSWERED_LOSS_SHARE);
});

test("a request that is late or lost already counts no more", (t) => {
  t.is(weighDelayedReaders([reader(-1, 9_000), reader(Infinity, 9_000), reader(-1, -1)], 500), 0);
});
