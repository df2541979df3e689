import test from "ava";
import {
  MAX_SPEED_FACTOR,
  MIN_WATCH_SAMPLES,
  SPEED_DECAY_MS,
  SPEED_HOLD_MS,
  SPEED_SAMPLE_GAP_MS,
  SPEED_SAMPLES,
} from "./constants.ts";
import { createServerSpeed } from "./create_server_speed.ts";
import { createManualClock } from "./_testing/fixtures.ts";

function setUp({ usual }: { usual?: number } = { usual: 1 }) {
  const clock = createManualClock();
  const speed = createServerSpeed({ clock, baseline: () => usual });
  const observe = (ratios: number[], { gapMs = SPEED_SAMPLE_GAP_MS, isShared = false } = {}) => {
    for (const ratio of ratios) {
      clock.advance(gapMs);
      speed.observe({ ratio, placedMs: clock.nowMs(), isShared });
    }
  };
  return { clock, speed, observe };
}

test("one odd sample does not make a sound server slow", (t) => {
  for (let position = 0; position < SPEED_SAMPLES; position++) {
    const { speed, observe } = setUp();
    observe(Array.from({ length: SPEED_SAMPLES }, (_, index) => index === position ? 50 : 1));
    t.is(speed.factor(), 1);
  }
});

test("a delay that requests of the same moment share counts once", (t) => {
  const { speed, observe } = setUp();
  observe([4, 4, 4, 4, 4], { gapMs: 0 });
  t.is(speed.factor(), 1);
});

test("samples that agree make a server slow by their median, relative to the others of its service", (t) => {
  const slow = setUp();
  slow.observe([4, 4, 9]);
  t.is(slow.speed.factor(), 4);
  const usual = setUp({ usual: 4 });
  usual.observe([4, 4, 4, 4, 4]);
  t.is(usual.speed.factor(), 1, "a model error that is common to all servers");
  const first = setUp({});
  first.observe([4, 4, 4, 4, 4]);
  t.is(first.speed.factor(), 1, "nothing to compare with");
  const extreme = setUp();
  extreme.observe([90, 90, 90]);
  t.is(extreme.speed.factor(), MAX_SPEED_FACTOR);
});

test("a split's late answer lets the pace be requested, but makes no server slow", (t) => {
  const { speed, observe } = setUp();
  observe([4, 4, 4, 4, 4], { isShared: true });
  t.deepEqual([speed.factor(), speed.wantsPace()], [1, true]);
});

test("a stated pace settles the factor at once, also against samples", (t) => {
  const { clock, speed, observe } = setUp();
  speed.setPace(3.65);
  t.is(speed.factor(), 3.65);
  observe([1, 1, 1]);
  t.is(speed.factor(), 3.65);
  speed.setPace(1);
  t.deepEqual([speed.factor(), speed.wantsPace()], [1, false]);
  observe([4, 4, 4]);
  t.is(speed.factor(), 1);
  t.true(speed.wantsPace());
  clock.advance(SPEED_HOLD_MS);
  observe(Array.from({ length: MIN_WATCH_SAMPLES }, () => 4));
  t.is(speed.factor(), 4, "a pace that is no longer fresh");
});

test("a server recovers with its next samples, or without any within seconds", (t) => {
  const { clock, speed, observe } = setUp();
  observe([4, 4, 4]);
  observe([1, 1]);
  t.is(speed.factor(), 1);
  observe([4, 4, 4]);
  clock.advance(SPEED_HOLD_MS + SPEED_DECAY_MS / 2);
  t.is(speed.factor(), 2.5);
  clock.advance(SPEED_DECAY_MS / 2);
  t.is(speed.factor(), 1);
});
