import test from "ava";
import { MAX_SAVED_HEDGES } from "./constants.ts";
import { createHedgeBudget } from "./create_hedge_budget.ts";

function setUp() {
  const budget = createHedgeBudget(() => ({ maxShare: 0.1, maxWorkShare: 0.1 }));
  const serve = (count: number, workMs = 100) => {
    for (let at = 0; at < count; at++) {
      budget.countRequest("a");
      budget.countWork("a", workMs);
    }
  };
  return { serve, take: (service = "a") => budget.tryTake(service) };
}

test("each service gets a share of its requests, and saves up little", (t) => {
  const { serve, take } = setUp();
  serve(11);
  t.deepEqual([take("b"), take() === undefined, take()], [undefined, false, undefined]);
  serve(1_000);
  t.is(Array.from({ length: 10 }, () => take()).filter(Boolean).length, MAX_SAVED_HEDGES);
});

test("a hedge that took long is repaid before the next one, and one not made is given back once", (t) => {
  const { serve, take } = setUp();
  serve(11);
  const grant = take();
  for (let at = 0; at < 2; at++) grant?.giveBack();
  take()?.settle(1_000);
  serve(70);
  t.is(take(), undefined);
  serve(30);
  t.not(take(), undefined);
});
