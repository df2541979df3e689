import test from "ava";
import { sleep } from "@jaypass/kernel";
import { runMisbehavingClients, watchProcess } from "@jaypass/stand_ins";
import type { MisbehavingClientName } from "@jaypass/stand_ins";
import { getApiKey } from "./build_document.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

// Each test guards against callers of jaypassd that end the process, exceed its machine, or keep it
// from answering others.

/** Memory of a small machine on which the process runs, in megabytes. */
const HOST_MEMORY_MB = 202;

/** Connections that the host accepts, and descriptors beside them. */
const MAX_CONNECTIONS = 1_000;
const MAX_DESCRIPTORS = MAX_CONNECTIONS + 200;

/** Bytes that the host may hold for its callers. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;

const MAX_BODY_BYTES = 1_000_000;

/** Largest head that Node.js allows by default. */
const MAX_HEADER_BYTES = 16_384;

/** Time for which the clients send, or keep their connections open after it. */
const DURATION_MS = 6_000;

/** Address from which the clients connect; ordinary callers connect from another one. */
const CLIENT_ADDRESS = "127.0.0.9";

/** Time within which one ordinary request must be answered. */
const ANSWER_TIMEOUT_MS = 15_000;

const testClients = test.macro({
  title: (providedTitle) => `jaypassd survives callers that send ${providedTitle}`,
  async exec(t, client: MisbehavingClientName, count: number, { hasKey = false } = {}) {
    const system = await startSystem({
      hosts: 1,
      engines: 1,
      services: 0,
      // Source maps, which other tests use, take 60 MB at the first error.
      hostNodeArguments: [],
      hostSettings: {
        limits: {
          maxBodyBytes: MAX_BODY_BYTES,
          maxHeldBytes: MAX_HELD_BYTES,
          maxConnections: MAX_CONNECTIONS,
        },
      },
    });
    t.teardown(() => system.stop());
    const caller = createCaller("school");
    t.teardown(() => caller.close());
    const [host] = system.hosts;
    if (host === undefined) throw new Error("The system has no host");
    const watch = watchProcess(host.program.pid);
    t.teardown(() => watch.end());
    const key = hasKey ? `authorization: Bearer ${getApiKey("school")}\r\n` : "";
    const clients = await runMisbehavingClients({
      address: new URL(host.url).host,
      client,
      count,
      localAddress: CLIENT_ADDRESS,
      getPath: "/v1/addresses",
      postPath: "/v1/chat/completions",
      headers: `Host: a.example\r\n${key}`,
      maxHeadBytes: MAX_HEADER_BYTES,
      maxBodyBytes: MAX_BODY_BYTES,
      durationMs: DURATION_MS,
    });
    t.teardown(() => clients.close());
    t.true(host.program.isRunning(), "The process has ended");
    const endMs = performance.now() + ANSWER_TIMEOUT_MS;
    const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
    let isAnswered = false;
    while (!isAnswered && host.program.isRunning() && performance.now() < endMs) {
      isAnswered = (await caller.complete(host.url, "question", { signal })).isComplete;
      if (!isAnswered) await sleep(50);
    }
    t.true(isAnswered, "No ordinary request is answered");
    t.true(host.program.isRunning(), "The process has ended after the clients");
    const { memoryMb, descriptors } = await watch.end();
    t.log({ memoryMb: Math.round(memoryMb), descriptors });
    t.true(memoryMb <= HOST_MEMORY_MB, `${memoryMb} MB`);
    t.true(descriptors <= MAX_DESCRIPTORS, `${descriptors} descriptors`);
  },
});

const hasKey = { hasKey: true };

test.serial("pipelined heads of short lines", testClients, "pipelinedHeads", 100);
test.serial("such heads with a key", testClients, "pipelinedHeads", 100, hasKey);
test.serial("bodies in chunks of one byte", testClients, "oneByteChunks", 250);
test.serial("bodies in chunks of one byte with a key", testClients, "oneByteChunks", 100, hasKey);
test.serial("bodies in large chunks", testClients, "largeChunks", 300);
test.serial("bodies in large chunks with a key", testClients, "largeChunks", 300, hasKey);
test.serial("pipelined calls whose answers are unread", testClients, "pipelinedRequests", 100);
test.serial("a head of many lines without end", testClients, "endlessHead", 200);
test.serial("empty lines without end", testClients, "emptyLines", 100);
test.serial("trailers without end with a key", testClients, "trailers", 100, hasKey);
test.serial("half of a head on many connections", testClients, "halfHead", 1_500);
