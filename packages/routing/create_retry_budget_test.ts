import test from "ava";
import { createRetryBudget } from "./create_retry_budget.ts";

test("retries during an outage are limited to a tenth of the requests plus the reserve", (t) => {
  const budget = createRetryBudget({ ratio: 0.1, reserve: 5, systemReserve: 100 });
  let retries = 0;
  for (let i = 0; i < 1_000; i++) {
    budget.deposit("school");
    while (budget.tryWithdraw("school")) retries++;
  }
  t.true(retries <= 5 + 100, `${retries} retries`);
  t.true(retries >= 90);
});

test("an outage of one workspace does not use the retries of others", (t) => {
  const budget = createRetryBudget({ reserve: 5, systemReserve: 100 });
  while (budget.tryWithdraw("failing"));
  t.true(budget.tryWithdraw("healthy"));
});

test("many failing workspaces together are limited to the budget of the host", (t) => {
  const budget = createRetryBudget({ reserve: 5, systemReserve: 20 });
  let retries = 0;
  for (let i = 0; i < 100; i++) while (budget.tryWithdraw(`workspace ${i}`)) retries++;
  t.is(retries, 20);
});
