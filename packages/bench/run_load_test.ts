import { expectedTokens } from "@jaypass/stand_ins";
import test from "ava";
import type { Target } from "./_lib/target.ts";
import { buildPrompt } from "./_lib/build_prompt.ts";
import { hashPrefixBlocks } from "@jaypass/engines";
import { makeWorkload, PROFILES, runLoad, summarise } from "./mod.ts";

const PROFILE = PROFILES.nachtwacht;

function fakeTarget(send: Target["send"]): Target {
  return {
    name: "fake",
    enginePrompt: (prompt) => prompt,
    send,
    setDataCentre: () => Promise.resolve(),
    stop: () => Promise.resolve(),
  };
}

test("the same seed plans the same load, and leaving long prompts out changes nothing else", (t) => {
  const options = { seed: 7, durationMs: 600_000 };
  const arrivals = makeWorkload(PROFILE, options);
  t.deepEqual(makeWorkload(PROFILE, options), arrivals);
  const withoutLong = makeWorkload(PROFILE, { ...options, isWithoutLong: true });
  t.deepEqual(withoutLong, arrivals.filter((arrival) => arrival.promptClass !== "long"));
  const long = arrivals.length - withoutLong.length;
  t.true(long > arrivals.length / 100 && long < arrivals.length / 33);
  t.true(arrivals.every(({ promptTokens }) => promptTokens >= 1_000 && promptTokens <= 1_000_000));
  t.is(new Set(arrivals.map((arrival) => arrival.requestId)).size, arrivals.length);
});

test("prompts of a workspace share exactly their prefix", (t) => {
  const [first, second] = makeWorkload(PROFILE, { seed: 1, durationMs: 600_000 })
    .filter(({ prefix, promptClass }) => prefix?.name === "w0p1" && promptClass === "medium");
  if (!first || !second) return t.fail("no two prompts share a prefix");
  const [a, b] = [first, second].map((arrival) => hashPrefixBlocks(buildPrompt(arrival, 4), 4));
  t.deepEqual(a?.slice(0, 3), b?.slice(0, 3));
  t.not(a?.[3], b?.[3]);
});

test("a stall of the target increases the measured latency of later requests", async (t) => {
  // Guards against coordinated omission: the stall also blocks the sender, which must not hide it.
  const target = fakeTarget((arrival, prompt, { onToken }) => {
    if (arrival.requestId === "first") {
      const endMs = performance.now() + 300;
      while (performance.now() < endMs);
    }
    onToken();
    return Promise.resolve(expectedTokens(prompt, arrival.maxTokens));
  });
  const arrival = {
    workspace: 0,
    promptClass: "short",
    promptTokens: 1_000,
    maxTokens: 2,
  } as const;
  const arrivals = ["first", "second"].map((requestId, index) => (
    { ...arrival, requestId, atMs: 10 * index }
  ));
  const { samples } = await runLoad(target, arrivals, { timeScale: 1, bytesPerToken: 4 });
  t.deepEqual(samples.map((sample) => sample.outcome), ["ok", "ok"]);
  t.true((samples[1]?.firstTokenMs ?? 0) >= 250);
});

test("an answer with a wrong or missing token never counts as successful", async (t) => {
  const target = fakeTarget((arrival, prompt, { onToken }) => {
    const tokens = expectedTokens(prompt, arrival.maxTokens);
    if (arrival.requestId === "short") tokens.pop();
    if (arrival.requestId === "wrong") tokens[0] = "x";
    tokens.forEach(onToken);
    return arrival.requestId === "failed"
      ? Promise.reject(new Error("cut"))
      : Promise.resolve(tokens);
  });
  const arrival = { atMs: 0, workspace: 0, promptClass: "short", promptTokens: 1_000 } as const;
  const arrivals = ["short", "wrong", "failed", "right"].map((requestId) => (
    { ...arrival, requestId, maxTokens: 3 }
  ));
  const result = await runLoad(target, arrivals, { timeScale: 1, bytesPerToken: 4 });
  const { sent, ok, wrong, failed } = summarise(result, 1_000).classes.short;
  t.deepEqual({ sent, ok, wrong, failed }, { sent: 4, ok: 1, wrong: 2, failed: { cut: 1 } });
});
