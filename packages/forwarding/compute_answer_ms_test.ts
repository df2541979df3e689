import test from "ava";
import { computeAnswerMs } from "./compute_answer_ms.ts";

const PROFILE = {
  slots: 10,
  memoryTokens: 400_000,
  stepMs: 1,
  perWriterMs: 0.1,
  contextMsPerThousand: 0.01,
  readTokensPerMs: 100,
  pairMsPerMillion: 0,
  stepsPerPass: 10,
  chunkTokens: 2_000,
  usualPromptTokens: 10_000,
  usualAnswerTokens: 100,
};

const compute = (tokens: object, options = {}) =>
  Math.round(computeAnswerMs(
    { promptTokens: 0, maxAnswerTokens: 1, estimatedAnswerTokens: undefined, ...tokens },
    PROFILE,
    options,
  ));

test("an answer takes two passes to its first byte, and then the passes of a full engine", (t) => {
  t.snapshot({
    answer: compute({ maxAnswerTokens: 1_000 }),
    partOfAPass: compute({}),
    longPrompt: compute({ promptTokens: 50_000, maxAnswerTokens: 1_000 }),
  });
});

test("the estimate shortens the expected answer but does not lengthen it beyond its maximum", (t) => {
  t.snapshot({
    short: compute({ maxAnswerTokens: 1_000, estimatedAnswerTokens: 100 }),
    long: compute({ maxAnswerTokens: 1_000, estimatedAnswerTokens: 5_000 }),
  });
});

test("the time to the first byte that placement states includes the read of the prompt", (t) => {
  const long = { promptTokens: 50_000, maxAnswerTokens: 1_000 };
  t.is(compute(long, { firstByteMs: 1_070 }) - compute(long, { firstByteMs: 70 }), 1_000);
});

test("an answer of unstated length counts as a long one of the usual answers", (t) => {
  const usual = compute({ maxAnswerTokens: 0 });
  t.is(usual, compute({ maxAnswerTokens: 300 }));
  t.is(usual, compute({ maxAnswerTokens: 0, estimatedAnswerTokens: 0 }));
});
