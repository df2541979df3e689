import test from "ava";
import { computeShortestFirstByteMs } from "./compute_shortest_first_byte_ms.ts";
import { TOKEN_ENGINE } from "./_testing/token_engine.ts";

const compute = (promptTokens: number, engineCount: number) =>
  computeShortestFirstByteMs({ promptTokens }, TOKEN_ENGINE, engineCount);

test("the engines of a service share the read of a prompt, up to the most helpers of one", (t) => {
  t.snapshot({
    noPrompt: compute(0, 2),
    noEngineKnown: compute(340_000, 0),
    one: compute(340_000, 1),
    two: compute(340_000, 2),
    mostHelpers: compute(340_000, 17),
    more: compute(340_000, 100),
  });
});
