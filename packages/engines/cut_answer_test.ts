import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createClock, createMetrics } from "@jaypass/kernel";
import { CUT_END, listRawAnswers, sendCutAnswer } from "@jaypass/stand_ins";
import type { CutEnd, RawAnswer } from "@jaypass/stand_ins";
import test from "ava";
import { createEngineClient } from "./create_engine_client.ts";
import { createServiceClient } from "./create_service_client.ts";

/** Calls in progress at a time. */
const PARALLEL_CALLS = 64;

const OPTIONS = { clock: createClock(), metrics: createMetrics({ tags: {} }) };

/** A server that sends the beginning of an answer and then ends it. */
interface CutServer {
  url: string;
  /** Sets what the server sends on the next connection. */
  set(bytes: string, end: CutEnd): void;
  close(): void;
}

async function startCutServer(): Promise<CutServer> {
  const sockets = new Set<Socket>();
  let next: [bytes: string, end: CutEnd] = ["", CUT_END.CLOSE];
  const server = createServer((socket) => {
    const [bytes, end] = next;
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    socket.once("data", () => sendCutAnswer(socket, bytes, end));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    set: (bytes, end) => void (next = [bytes, end]),
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

// The servers keep their ports, since a restarting server of another test must not find its port in use.
const servers = await Promise.all(Array.from({ length: PARALLEL_CALLS }, startCutServer));
test.after.always(() => servers.forEach((server) => server.close()));

/** What a call returns as a whole answer. */
type Call = (url: string, timeoutMs: number) => Promise<string>;

const callService = (freshConnection: boolean): Call => async (url, timeoutMs) => {
  const client = createServiceClient(url, OPTIONS);
  try {
    const body = Buffer.from("{}");
    const req = { requestId: "r", operation: "o", body, contentType: "application/json" };
    const res = await client.call({ ...req, key: "k" }, { timeoutMs, freshConnection });
    return `${res.status} ${Buffer.from(res.body)}`;
  } finally {
    await client.close();
  }
};

const exportMemory: Call = async (url, timeoutMs) => {
  const client = createEngineClient(url, OPTIONS);
  try {
    return `200 ${Buffer.from(await client.exportKv("r", { timeoutMs }))}`;
  } finally {
    await client.close();
  }
};

const readRequests: Call = async (url, timeoutMs) => {
  const client = createEngineClient(url, OPTIONS);
  try {
    return `200 ${JSON.stringify({ requests: await client.active({ timeoutMs }) })}`;
  } finally {
    await client.close();
  }
};

const complete: Call = async (url, timeoutMs) => {
  const client = createEngineClient(url, OPTIONS);
  let events = "";
  try {
    const limits = { timeoutMs, idleTimeoutMs: timeoutMs };
    for await (const event of client.resume("r", 0, limits)) events += `${JSON.stringify(event)}\n`;
    return `200 ${events}`;
  } finally {
    await client.close();
  }
};

const EVENTS = [
  { type: "token", requestId: "r", index: 0, text: "x" },
  { type: "end", requestId: "r", totalTokens: 1, cachedTokens: 0 },
].map((event) => `${JSON.stringify(event)}\n`).join("");

const CALLS: Record<string, { call: Call; body: string }> = {
  "a call of a service on a new connection": { call: callService(true), body: "whole" },
  "a call of a service on a kept connection": { call: callService(false), body: "whole" },
  "an export of engine memory": { call: exportMemory, body: "whole" },
  "a list of requests": { call: readRequests, body: `{"requests":[]}` },
  "a stream of events": { call: complete, body: EVENTS },
};

/** Cuts an answer at each length, and returns those that the client takes for whole. */
async function cutEverywhere(
  { bytes }: RawAnswer,
  { call, end, timeoutMs }: { call: Call; end: CutEnd; timeoutMs: number },
) {
  const lengths = Array.from({ length: bytes.length + 1 }, (_, length) => length);
  const successes: { length: number; answer: string }[] = [];
  const callNext = async (server: CutServer): Promise<void> => {
    const length = lengths.shift();
    if (length === undefined) return;
    server.set(bytes.slice(0, length), end);
    const answer = await call(server.url, timeoutMs).catch(() => undefined);
    if (answer !== undefined) successes.push({ length, answer });
    return callNext(server);
  };
  await Promise.all(servers.map(callNext));
  return successes.sort((a, b) => a.length - b.length);
}

for (const [name, { call, body }] of Object.entries(CALLS)) {
  for (const end of [CUT_END.CLOSE, CUT_END.RESET, CUT_END.LATE_RESET]) {
    test.serial(`${name} cut by a ${end} is not taken for whole`, async (t) => {
      for (const answer of listRawAnswers(["x-request-id: r"], body)) {
        const successes = await cutEverywhere(answer, { call, end, timeoutMs: 5_000 });
        const wrong = successes.filter((success) => success.answer !== `200 ${body}`);
        t.deepEqual(wrong, [], answer.name);
        // An answer that the client refuses altogether, such as one after an unasked continue.
        const mayBeRefused = answer.endsWithConnection || /line feeds|continue/.test(answer.name);
        if (end === CUT_END.CLOSE && !mayBeRefused) {
          t.is(successes.at(-1)?.length, answer.bytes.length, answer.name);
        }
      }
    });
  }

  test.serial(`${name} cut without an end of the connection fails by its timeout`, async (t) => {
    for (const answer of listRawAnswers(["x-request-id: r"], body)) {
      const successes = await cutEverywhere(answer, {
        call,
        end: CUT_END.SILENCE,
        timeoutMs: 200,
      });
      t.deepEqual(successes.filter((success) => success.answer !== `200 ${body}`), [], answer.name);
    }
  });
}
