import test from "ava";
import {
  ANSWER_MEMORY_MS,
  MAX_CRASH_ROUNDS,
  MIN_CRASH_ROUNDS,
  MIN_SUSPICION_MS,
} from "./constants.ts";
import { createCrashEvidence } from "./create_crash_evidence.ts";
import { createManualClock } from "./_testing/fixtures.ts";

const SERVICE = "model";

/** Answers after which two crashes of some content are hardly due to chance. */
const ANSWER_COUNT = 40;

function setUp() {
  const clock = createManualClock();
  const quarantined: string[][] = [];
  const evidence = createCrashEvidence(clock, () => quarantined);
  let serverCount = 0;
  /** Ends one server under attempts that were sent 10 ms before, `ranMs` after their first bytes. */
  const crashAfter = (ranMs: number, ...attempts: string[][]) => {
    const sentMs = clock.nowMs();
    clock.advance(10 + ranMs);
    const serverStart = `s${serverCount++}`;
    for (const keys of attempts) {
      evidence.recordCrash({ serverStart, service: SERVICE, keys, sentMs, ranMs });
    }
    return serverStart;
  };
  const crash = (...attempts: string[][]) => crashAfter(0, ...attempts);
  const answerAfter = (ranMs: number, ...keys: string[]) => {
    for (let count = 0; count < ANSWER_COUNT; count++) evidence.recordAnswer(SERVICE, keys, ranMs);
  };
  const answer = (...keys: string[]) => answerAfter(0, ...keys);
  const review = () => {
    clock.advance(MIN_SUSPICION_MS);
    const verdicts = evidence.takeVerdicts().map(({ keys }) => keys);
    quarantined.push(...verdicts);
    return verdicts;
  };
  return { clock, evidence, quarantined, crash, crashAfter, answer, answerAfter, review };
}

test("a part is the cause when it alone is in all crashes and no answer has it", (t) => {
  const { crash, answer, review } = setUp();
  const verdicts = [];
  for (let round = 0; round < MIN_CRASH_ROUNDS; round++) {
    crash(["shared", "p", `own${round}`]);
    answer("shared", `other${round}`);
    verdicts.push(...review());
  }
  t.deepEqual(verdicts, [["p"]]);
});

test("parts that only occur together are the cause together", (t) => {
  const { crash, answer, review } = setUp();
  const verdicts = [];
  for (let round = 0; round < MIN_CRASH_ROUNDS; round++) {
    crash(["p", "q", `own${round}`]);
    answer("r");
    verdicts.push(...review());
  }
  t.deepEqual(verdicts, [["p", "q"]]);
  crash(["p", "own"]);
  t.deepEqual(review(), [["p"]]);
});

test("a loss of many servers at once counts as one crash", (t) => {
  const { evidence, answer, review, clock } = setUp();
  clock.advance(10);
  for (let server = 0; server < 10; server++) {
    evidence.recordCrash({
      serverStart: `s${server}`,
      service: SERVICE,
      keys: ["p"],
      sentMs: 0,
      ranMs: 0,
    });
  }
  answer("q");
  t.deepEqual(review(), []);
});

test("attempts that were sent before a crash was known count as the same round", (t) => {
  const { evidence, clock } = setUp();
  for (let server = 0; server < 2 * MAX_CRASH_ROUNDS; server++) {
    evidence.recordCrash({
      serverStart: `s${server}`,
      service: SERVICE,
      keys: ["p"],
      sentMs: 0,
      ranMs: 0,
    });
    evidence.recordAnswer(SERVICE, ["q"], 0);
    clock.advance(MIN_SUSPICION_MS);
    t.deepEqual(evidence.takeVerdicts(), []);
  }
});

test("nothing is concluded while every request crashes", (t) => {
  const { crash, review } = setUp();
  for (let round = 0; round < 3 * MAX_CRASH_ROUNDS; round++) {
    crash(["shared", `own${round}`]);
    t.deepEqual(review(), []);
  }
});

test("an answer clears its parts, shortly before a crash and after it", (t) => {
  const { crash, answer, review, clock, evidence } = setUp();
  answer("p");
  crash(["p"]);
  crash(["p"]);
  t.deepEqual([...evidence.suspectKeys(SERVICE).keys()], []);
  clock.advance(ANSWER_MEMORY_MS);
  crash(["p"]);
  t.deepEqual([...evidence.suspectKeys(SERVICE).keys()], []);
  crash(["p"]);
  t.deepEqual([...evidence.suspectKeys(SERVICE).keys()], ["p"]);
  answer("p");
  t.deepEqual([...evidence.suspectKeys(SERVICE).keys()], []);
  t.deepEqual(review(), []);
});

test("a server that answers later has not crashed", (t) => {
  const { crash, answer, review, clock, evidence } = setUp();
  for (let round = 0; round < MAX_CRASH_ROUNDS; round++) {
    const server = crash(["p", `own${round}`]);
    clock.advance(1);
    evidence.recordServerAlive(server, clock.nowMs());
    answer("q");
    t.deepEqual(review(), []);
  }
});

test("two crashing parts at once are both found, and no other part", (t) => {
  const { crash, answer, review } = setUp();
  const verdicts: string[][] = [];
  for (let round = 0; round < MAX_CRASH_ROUNDS; round++) {
    crash(["shared", "p", `a${round}`]);
    crash(["shared", "q", `b${round}`]);
    answer("shared", `s${round}`);
    verdicts.push(...review());
  }
  t.deepEqual(verdicts.toSorted(), [["p"], ["q"]]);
});

test("requests beside a crashing one are not held to be the cause", (t) => {
  const { crash, answer, review, evidence } = setUp();
  const verdicts: string[][] = [];
  for (let round = 0; round < MIN_CRASH_ROUNDS + 1; round++) {
    // The session is beside the part in all crashes but the first.
    crash(["p", `a${round}`], ...(round === 0 ? [] : [["session", `b${round}`]]));
    answer("shared");
    verdicts.push(...review());
  }
  t.deepEqual(verdicts, [["p"]]);
  t.false(evidence.suspectKeys(SERVICE).has("session"));
});

test("crashes of one service do not count for another", (t) => {
  const { evidence, clock, answer, review } = setUp();
  for (let round = 0; round < MAX_CRASH_ROUNDS; round++) {
    const service = round % 2 === 0 ? SERVICE : "other";
    const sentMs = clock.nowMs();
    evidence.recordCrash({ serverStart: `s${round}`, service, keys: ["p"], sentMs, ranMs: 0 });
    clock.advance(10);
    answer("q");
    for (let count = 0; count < ANSWER_COUNT; count++) evidence.recordAnswer("other", ["q"], 0);
    t.deepEqual(review(), round === MAX_CRASH_ROUNDS - 1 ? [["p"]] : []);
  }
});

test("content is found again after its quarantine was lifted", (t) => {
  const { quarantined, crash, answer, review } = setUp();
  const verdicts = [];
  for (let round = 0; round < 2 * MIN_CRASH_ROUNDS; round++) {
    if (round === MIN_CRASH_ROUNDS) quarantined.length = 0;
    crash(["p", `own${round}`]);
    answer("q");
    verdicts.push(...review());
  }
  t.deepEqual(verdicts, [["p"], ["p"]]);
});

// Guards against content that is never found because it crashes servers late in its answers.
test("content that crashes servers while they write is found although it runs for a while each time", (t) => {
  const { evidence, crashAfter, answerAfter, review } = setUp();
  const verdicts = [];
  for (let round = 0; round < MIN_CRASH_ROUNDS; round++) {
    evidence.recordRun(SERVICE, ["p", `own${round}`], 500);
    crashAfter(700, ["p", `own${round}`]);
    answerAfter(1_700, "shared");
    evidence.recordRun(SERVICE, ["p", `own${round + 1}`], 1_000);
    verdicts.push(...review());
  }
  t.deepEqual(verdicts, [["p"]]);
});

test("a run clears its parts of crashes that came clearly sooner, and a whole answer of all", (t) => {
  const { evidence, crash, crashAfter } = setUp();
  const isSuspect = () => evidence.suspectKeys(SERVICE).has("p");
  for (let count = 0; count < 2; count++) crash(["p"]);
  t.true(isSuspect());
  evidence.recordRun(SERVICE, ["p"], 500);
  t.false(isSuspect());
  for (let count = 0; count < 2; count++) crashAfter(3_000, ["p"]);
  evidence.recordRun(SERVICE, ["p"], 5_000);
  t.true(isSuspect());
  evidence.recordRun(SERVICE, ["p"], 6_000);
  t.false(isSuspect());
  for (let count = 0; count < 2; count++) crashAfter(3_000, ["p"]);
  t.true(isSuspect());
  evidence.recordAnswer(SERVICE, ["p"], 100);
  t.false(isSuspect());
});

// Guards sound requests with long answers, which ordinary crashes meet more often than short ones.
test("short answers to others do not count against content that runs for long before its crashes", (t) => {
  const { crashAfter, answerAfter, review } = setUp();
  for (let round = 0; round < MAX_CRASH_ROUNDS - 1; round++) {
    crashAfter(8_000, ["p", `own${round}`]);
    answerAfter(1_000, "q");
    t.deepEqual(review(), []);
  }
});

test("without an answer to others a server is spared a retry after several crashes, and nothing else follows", (t) => {
  const { evidence, crash, review } = setUp();
  for (let round = 0; round < MAX_CRASH_ROUNDS; round++) {
    t.false(evidence.isLikelyCause(["p", "own"]));
    crash(["p", "own"]);
    t.deepEqual(review(), []);
  }
  t.true(evidence.isLikelyCause(["p", "own"]));
  evidence.recordAnswer(SERVICE, ["p", "other"], 0);
  t.false(evidence.isLikelyCause(["p", "own"]));
});
