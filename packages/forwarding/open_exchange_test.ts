import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { EXCHANGE_FAILURE, ExchangeError, openExchange } from "./open_exchange.ts";
import type { ServerRequest } from "./open_exchange.ts";

const CONNECT_TIMEOUT_MS = 100;

const REQUEST: ServerRequest = {
  address: "127.0.0.1:1",
  method: "POST",
  target: "/a",
  headers: ["Host", "a"],
  body: Buffer.from("x"),
};

const NOT_CONNECTED: Record<string, string> = {
  "a port out of range": "127.0.0.1:99999",
  "port 0": "127.0.0.1:0",
  "no port": "127.0.0.1",
  "an octet out of range": "999.1.1.1:80",
  "an empty text": "",
};
for (const [name, address] of Object.entries(NOT_CONNECTED)) {
  test(`a server whose address is or has ${name} is not connected to, without an exception`, async (t) => {
    const exchange = openExchange({ ...REQUEST, address }, { connectTimeoutMs: 500 });
    const err = await t.throwsAsync(exchange.answer, { instanceOf: ExchangeError });
    t.is(err?.failure, EXCHANGE_FAILURE.NOT_CONNECTED);
    t.notThrows(() => exchange.cancel());
  });
}

const INVALID: Record<string, Partial<ServerRequest>> = {
  "a tab in the target": { target: "/a\tb" },
  "a space in a header name": { headers: ["Host", "a", "x y", "1"] },
  "a character beyond Latin-1 in a header": { headers: ["Host", "\u0142"] },
  "a space in the method": { method: "A B" },
};
for (const [name, changes] of Object.entries(INVALID)) {
  test(`a request with ${name} does not count as a failure of its server`, async (t) => {
    const exchange = openExchange({ ...REQUEST, ...changes }, { connectTimeoutMs: 500 });
    const err = await t.throwsAsync(exchange.answer, { instanceOf: ExchangeError });
    t.is(err?.failure, EXCHANGE_FAILURE.INVALID_REQUEST);
  });
}

test("a connect that succeeds while the event loop is blocked does not time out", async (t) => {
  const server = createServer((_req, res) => void res.end("whole"));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const exchange = openExchange({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: "GET",
    target: "/",
    headers: ["Host", "server"],
    body: Buffer.alloc(0),
  }, { connectTimeoutMs: CONNECT_TIMEOUT_MS });
  // The block begins once the connect is on its way.
  process.nextTick(() => {
    const endMs = performance.now() + 2 * CONNECT_TIMEOUT_MS;
    while (performance.now() < endMs);
  });
  const answer = await exchange.answer;
  t.is(answer.status, 200);
  exchange.cancel();
});

test("a body in chunks of a byte is read whole, unless it goes on without end", async (t) => {
  const server = createServer((req, res) => {
    const count = Number(req.url?.slice(1));
    res.write("x");
    let written = 1;
    const write = () => {
      while (written < count && !res.destroyed) {
        written += 1;
        if (!res.write("x")) return void res.once("drain", write);
      }
      res.end();
    };
    write();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const read = async (count: number) => {
    const exchange = openExchange(
      { ...REQUEST, address, target: `/${count}` },
      { connectTimeoutMs: 500 },
    );
    let length = 0;
    for await (const chunk of (await exchange.answer).body) length += chunk.length;
    return length;
  };
  t.is(await read(50_000), 50_000);
  const err = await t.throwsAsync(read(1_000_000), { instanceOf: ExchangeError });
  t.is(err?.failure, EXCHANGE_FAILURE.BROKEN);
});
