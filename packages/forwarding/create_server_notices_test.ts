import test from "ava";
import fc from "fast-check";
import type { Logger } from "@jaypass/kernel";
import { MAX_SERVER_NOTICES } from "./constants.ts";
import { createServerNotices } from "./create_server_notices.ts";

function setUp() {
  let nowMs = 1_000;
  const lines: string[] = [];
  const counts: string[] = [];
  const left: string[] = [];
  const log: Logger = {
    debug: () => {},
    info: (_fields, message) => void lines.push(message),
    warn: () => {},
    error: () => {},
    child: () => log,
  };
  const notices = createServerNotices({
    clock: { nowMs: () => nowMs, wallMs: () => 0 },
    log,
    metrics: { increment: (name, tags) => void counts.push(`${name} ${tags?.kind}`) },
    onLeaving: ({ id }) => void left.push(id),
  });
  const record = (id: string, bornMs: number, notice: { isLeaving?: boolean; pauseMs?: number }) =>
    notices.record({ id, bornMs }, { isLeaving: false, pauseMs: undefined, ...notice });
  return {
    notices,
    record,
    advance: (ms: number) => void (nowMs += ms),
    waitMs: (id: string, bornMs = 1) => notices.waitMs({ id, bornMs }),
    lines,
    counts,
    left,
  };
}

// Guards against requests to a server that leaves, for example after a later pause has ended.
test("a server that leaves wants no requests until another start replaces it", (t) => {
  const { notices, record, advance, waitMs } = setUp();
  record("s1", 1, { isLeaving: true });
  record("s1", 1, { pauseMs: 100 });
  record("s1", 1, {});
  advance(1e9);
  t.is(waitMs("s1"), Infinity);
  t.is(waitMs("s1", 2), 0);
  notices.removeGone(() => undefined);
  t.is(waitMs("s1"), Infinity);
  notices.removeGone(() => 2);
  t.deepEqual([waitMs("s1"), notices.listUnusable()], [0, []]);
});

// Guards against a server without a start time that is never used again after a restart.
test("what a server without a known start time has stated ends when the server is gone", (t) => {
  const { notices, record, waitMs } = setUp();
  record("s1", 0, { isLeaving: true });
  notices.removeGone(() => 0);
  t.is(waitMs("s1", 0), Infinity);
  notices.removeGone(() => undefined);
  t.is(waitMs("s1", 0), 0);
});

// Guards against a pause that a later, shorter one ends too early.
test("the longer of two pauses counts", (t) => {
  const { record, advance, waitMs } = setUp();
  record("s1", 1, { pauseMs: 2_000 });
  advance(500);
  record("s1", 1, { pauseMs: 100 });
  t.is(waitMs("s1"), 1_500);
  record("s1", 1, { pauseMs: 3_000 });
  advance(2_999);
  t.is(waitMs("s1"), 1);
  advance(1);
  t.is(waitMs("s1"), 0);
});

test("each change is logged, counted and reported once", (t) => {
  const { notices, record, advance, lines, counts, left } = setUp();
  for (let count = 0; count < 3; count++) record("s1", 1, { pauseMs: 200 });
  record("s2", 1, { isLeaving: true });
  record("s2", 1, { isLeaving: true });
  t.is(notices.listUnusable().length, 2);
  advance(200);
  t.deepEqual(notices.listUnusable(), [{ id: "s2", bornMs: 1 }]);
  t.deepEqual(lines, [
    "Server wants no requests for a time",
    "Server states that it leaves",
    "Pause of server ended",
  ]);
  t.deepEqual(counts, ["server_notice pause", "server_notice leaving"]);
  t.deepEqual([left, notices.listLeaving()], [["s2"], [{ id: "s2", bornMs: 1 }]]);
});

// Guards against memory that grows with each server that ever left.
test("the number of entries is limited; pauses that have ended go first, then the oldest", (t) => {
  const { notices, record, advance, waitMs } = setUp();
  record("oldest", 1, { isLeaving: true });
  record("ended", 1, { pauseMs: 10 });
  advance(10);
  for (let at = 2; at <= MAX_SERVER_NOTICES; at++) record(`s${at}`, 1, { isLeaving: true });
  t.is(waitMs("oldest"), Infinity);
  record("newest", 1, { isLeaving: true });
  t.deepEqual([waitMs("oldest"), waitMs("newest")], [0, Infinity]);
  t.is(notices.listUnusable().length, MAX_SERVER_NOTICES);
});

const EVENT = fc.oneof(
  fc.record({
    kind: fc.constant("answer" as const),
    id: fc.nat(2),
    // Start of the instance that answers, counted back from the current one: 1 for a late answer.
    back: fc.nat(1),
    isLeaving: fc.boolean(),
    pauseMs: fc.option(fc.integer({ min: 1, max: 500 }), { nil: undefined }),
  }),
  fc.record({ kind: fc.constant("restart" as const), id: fc.nat(2) }),
  fc.record({ kind: fc.constant("entry" as const), id: fc.nat(2), isThere: fc.boolean() }),
  fc.record({ kind: fc.constant("time" as const), ms: fc.integer({ min: 1, max: 300 }) }),
);

// Guards against a request in a time that a server has forbidden, and against one that is withheld
// from an instance that has forbidden nothing, whatever the order of events is.
test("in any order of answers, restarts and changes of entries, exactly the forbidden times are kept", (t) => {
  fc.assert(fc.property(fc.array(EVENT, { maxLength: 60 }), (events) => {
    const { notices, record, advance, waitMs } = setUp();
    let nowMs = 1_000;
    const born = [1, 1, 1];
    const isThere = [true, true, true];
    const untilMs = new Map<string, number>();
    for (const event of events) {
      if (event.kind === "time") {
        nowMs += event.ms;
        advance(event.ms);
      } else {
        const id = `s${event.id}`;
        if (event.kind === "answer") {
          const bornMs = Math.max(1, (born[event.id] ?? 1) - event.back);
          record(id, bornMs, event);
          const key = `${id} ${bornMs}`;
          const endMs = event.isLeaving ? Infinity : nowMs + (event.pauseMs ?? 0);
          untilMs.set(key, Math.max(endMs, untilMs.get(key) ?? 0));
        } else if (event.kind === "restart") born[event.id] = (born[event.id] ?? 1) + 1;
        else isThere[event.id] = event.isThere;
        notices.removeGone((known) => {
          const at = Number(known.slice(1));
          return isThere[at] ? born[at] : undefined;
        });
      }
      for (const [at, bornMs] of born.entries()) {
        const expectedMs = Math.max(0, (untilMs.get(`s${at} ${bornMs}`) ?? 0) - nowMs);
        if (waitMs(`s${at}`, bornMs) !== expectedMs) return false;
      }
      const listed = notices.listUnusable().map(({ id, bornMs }) => `${id} ${bornMs}`);
      for (const key of listed) if ((untilMs.get(key) ?? 0) <= nowMs) return false;
    }
    return true;
  }));
  t.pass();
});
