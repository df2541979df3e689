import test from "ava";
import { sleep } from "@jaypass/kernel";
import { request } from "undici";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { getApiKey, TEST_MODEL } from "./build_document.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 20;

/** Time after which a data centre that was taken out of service must get no new requests. */
const OUT_BOUND_MS = 5_000;

test("a data centre taken out of service gets no new requests after 5 s and returns without a failed request", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 3,
    services: 1,
    dataCentres: ["gent", "brussel", "leuven"],
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  const [gent, brussel] = system.hosts;
  let urls = [brussel!.url, system.hosts[2]!.url];
  let isStopped = false;
  const faults: unknown[] = [];
  const work = async (n: number) => {
    for (let i = 0; !isStopped; i++) {
      const prompt = `question ${n}.${i}`;
      const url = urls[i % urls.length]!;
      const outcome = await caller.complete(url, prompt, { maxTokens: TOKENS });
      const fault = findAnswerError(outcome, prompt, TOKENS) ??
        (outcome.isComplete ? undefined : outcome.error);
      if (fault) faults.push(fault);
      await sleep(20);
    }
  };
  const workers = [work(0), work(1), work(2)];
  await sleep(500);

  // The host in the data centre cannot reach the store when the data centre is taken out of service.
  await system.setFaults(system.platform.url, {
    clients: [gent!.id],
    faults: { outage: "silent" },
  });
  const path = "config/data-centres/gent/state";
  await system.postAdmin(brussel!.url, path, { state: "out", why: "Power maintenance" });
  await sleep(OUT_BOUND_MS);
  const before = await readEngineLogs(system);
  await sleep(2_000);
  const after = await readEngineLogs(system);
  t.is(after[0]!.acceptedTotal - before[0]!.acceptedTotal, 0);
  t.true(after[1]!.acceptedTotal > before[1]!.acceptedTotal);

  const res = await request(`${gent!.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${getApiKey("school")}` },
    body: JSON.stringify({ model: TEST_MODEL, messages: [{ role: "user", content: "Hi" }] }),
  });
  const body = await res.body.json() as { error: { reason: string; ran: string } };
  t.deepEqual([res.statusCode, body.error.reason, body.error.ran], [
    307,
    "data_centre_out",
    "not_run",
  ]);
  const redirectUrl = new URL(String(res.headers.location)).origin;
  t.true([brussel!.url, system.hosts[2]!.url].includes(redirectUrl));
  t.false((await caller.fetchAddresses(gent!.url)).some(({ url }) => url === gent!.url));

  await system.setFaults(system.platform.url, { reset: true });
  await system.postAdmin(brussel!.url, path, { state: "in", why: "Power is back" });
  urls = system.hosts.map((host) => host.url);
  const returnMs = performance.now();
  let accepted = 0;
  while (accepted === 0 && performance.now() - returnMs < 15_000) {
    await sleep(200);
    accepted = (await readEngineLogs(system))[0]!.acceptedTotal - after[0]!.acceptedTotal;
  }
  await sleep(1_000);
  isStopped = true;
  await Promise.all(workers);
  t.true(accepted > 0, "no request was accepted after the data centre returned");
  t.deepEqual(faults, []);
});
