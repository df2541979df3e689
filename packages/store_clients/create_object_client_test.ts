import test from "ava";
import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import { createPlatformStandIn } from "@jaypass/stand_ins";
import { createHostListClient, createObjectClient, createWeightClient } from "./mod.ts";

const LONG = { timeoutMs: 20_000 };

test("the object, host list and weight clients follow the store protocol, also after a lost response", async (t) => {
  const platform = await createPlatformStandIn({ hostListLagMs: 200, weightBytesPerSecond: 1_000 });
  const options = {
    baseUrl: platform.url,
    client: "h1",
    clock: createClock(),
    random: Math.random,
    metrics: createMetrics({ tags: {} }),
  };
  const objects = createObjectClient(options);
  const hosts = createHostListClient(options);
  const weights = createWeightClient(options);

  platform.setFaults({ loseAnswers: { next: 1 } });
  await objects.put("a/b c", new Uint8Array([0, 255]), LONG);
  t.deepEqual(await objects.get("a/b c", LONG), new Uint8Array([0, 255]));
  await objects.delete("a/b c", LONG);
  t.is(await objects.get("a/b c", LONG), undefined);

  const host = {
    id: "h1",
    dataCentre: "gent",
    peerAddress: "127.0.0.1:1",
    callerUrl: "http://127.0.0.1:2",
    state: "live",
  } as const;
  await hosts.register(host, LONG);
  while ((await hosts.list(LONG)).length === 0) await sleep(20);
  t.deepEqual(await hosts.list(LONG), [host]);
  await hosts.remove("h1", LONG);

  t.true((await weights.describe("m", "1", LONG)).bytes > 0);
  t.is((await weights.reserve(5_000, LONG)).waitMs, 0);
  t.true((await weights.reserve(5_000, LONG)).waitMs > 0);

  await Promise.all([objects.close(), hosts.close(), weights.close()]);
  await platform.stop();
});
