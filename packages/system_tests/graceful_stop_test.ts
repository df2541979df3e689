import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findAnswerError } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 60;

test("a graceful stop interrupts no request, even from callers with an outdated address list", async (t) => {
  const system = await startSystem({ hosts: 3, engines: 2, services: 1 });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  const leaving = system.hosts[0]!;
  let isStopped = false;
  let sent = 0;
  const faults: unknown[] = [];
  const work = async () => {
    let addressList = { addresses: [leaving.url], expiresMs: performance.now() + 15_000 };
    while (!isStopped) {
      if (performance.now() > addressList.expiresMs) {
        const addresses = await caller.fetchAddresses(system.hosts[1]!.url);
        const urls = addresses.map(({ url }) => url);
        addressList = { addresses: urls, expiresMs: performance.now() + 15_000 };
      }
      const url = addressList.addresses[0]!;
      const prompt = `question ${sent++}`;
      const outcome = await caller.complete(url, prompt, { maxTokens: TOKENS });
      const fault = findAnswerError(outcome, prompt, TOKENS) ??
        (outcome.isComplete ? undefined : outcome.error);
      if (fault) faults.push({ url: url === leaving.url ? "leaving" : "other", fault });
      await sleep(50);
    }
  };
  const workers = [work(), work(), work()];
  await sleep(500);
  leaving.program.signal("SIGTERM");
  const code = await leaving.program.exited;
  isStopped = true;
  await Promise.all(workers);
  t.is(code, 0, leaving.program.stderrTail());
  t.deepEqual(faults, []);
  t.true(sent > 50);
  const addresses = await caller.fetchAddresses(system.hosts[1]!.url);
  t.false(addresses.some(({ url }) => url === leaving.url));
});
