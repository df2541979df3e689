import test from "ava";
import { MAX_SAVED_HEDGES } from "./constants.ts";
import { createHedgeBudget } from "./create_hedge_budget.ts";

function setUp({ maxShare = 0.1, maxWorkShare = 0.1 } = {}) {
  const budget = createHedgeBudget(() => ({ maxShare, maxWorkShare }));
  const serve = (count: number, workMs = 100) => {
    for (let at = 0; at < count; at++) {
      budget.countRequest("a");
      budget.countWork("a", workMs);
    }
  };
  const take = () => budget.tryTake("a");
  return { budget, serve, take };
}

test("each service gets a share of its requests, and saves up little", (t) => {
  const { budget, serve, take } = setUp();
  t.is(take(), undefined);
  serve(11);
  t.not(take(), undefined);
  t.is(take(), undefined);
  t.is(budget.tryTake("b"), undefined);
  serve(1_000);
  for (let at = 0; at < MAX_SAVED_HEDGES; at++) t.not(take(), undefined);
  t.is(take(), undefined);
});

test("a hedge that took long is repaid before the next one", (t) => {
  const { serve, take } = setUp();
  serve(11);
  take()?.settle(1_000);
  serve(70);
  t.is(take(), undefined);
  serve(30);
  t.not(take(), undefined);
});

test("a hedge that was not made is given back once", (t) => {
  const { serve, take } = setUp();
  serve(11);
  const grant = take();
  grant?.giveBack();
  grant?.giveBack();
  grant?.settle(10_000);
  t.not(take(), undefined);
  t.is(take(), undefined);
});

test("shares of 0 allow no hedge", (t) => {
  for (const shares of [{ maxShare: 0 }, { maxWorkShare: 0 }]) {
    const { serve, take } = setUp(shares);
    serve(1_000);
    t.is(take(), undefined);
  }
});
