import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import { MAX_REQUEST_REST_MS } from "./constants.ts";
import { ROUTE_KIND } from "./types.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\nwhole";

/** Far more than the kernel's buffers of a connection that are not grown yet. */
const LARGE_BYTES = 4_000_000;

const SMALL_BYTES = 10;

/** Limit for the rest of the request, and time for the rest on a busy machine. */
const DECISION_LIMIT_MS = MAX_REQUEST_REST_MS + 2_000;

/** Delay that separates a reset from the FIN before it. */
const RESET_DELAY_MS = 50;

/** How a server ends its answer after the first part of the request, and if the answer is whole then. */
const ENDS: Record<string, { end: (socket: Socket) => void; wholeAt: number[] }> = {
  "a reset": {
    end: (socket) => void socket.write(ANSWER, () => socket.resetAndDestroy()),
    wholeAt: [],
  },
  "a FIN, and reads on": {
    end: (socket) => void socket.end(ANSWER).resume(),
    wholeAt: [SMALL_BYTES, LARGE_BYTES],
  },
  "a FIN, and reads no further": {
    end: (socket) => void socket.end(ANSWER).pause(),
    wholeAt: [SMALL_BYTES],
  },
  "a FIN and then a reset": {
    end(socket) {
      socket.end(ANSWER).pause();
      setTimeout(() => socket.destroy(), RESET_DELAY_MS);
    },
    wholeAt: [SMALL_BYTES],
  },
  "a close while more of the request arrives": {
    end: (socket) => void socket.end(ANSWER, () => socket.destroy()),
    wholeAt: [SMALL_BYTES],
  },
};

/** Starts a server that ends its answer in a given way, and returns its address. */
async function startServer(t: ExecutionContext, end: (socket: Socket) => void): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    // Only the first part is read, so that a large request is still being written.
    socket.once("data", () => end(socket));
    socket.on("end", () => socket.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const KINDS = [ROUTE_KIND.IDEMPOTENT, ROUTE_KIND.NON_IDEMPOTENT] as const;

/** What a caller gets, and the outcomes at the servers, if the answer is whole or not. */
const RESULTS = {
  whole: { body: "whole", status: 200, outcomes: ["answered"] },
  [ROUTE_KIND.IDEMPOTENT]: { body: "second", status: 200, outcomes: ["broken", "answered"] },
  [ROUTE_KIND.NON_IDEMPOTENT]: {
    body: '{"error":"server_broke_off"}',
    status: 502,
    outcomes: ["broken"],
  },
};

// Guards against cut answers that look whole, and against a second run after a whole answer.
for (const kind of KINDS) {
  for (const size of [SMALL_BYTES, LARGE_BYTES]) {
    for (const [name, { end, wholeAt }] of Object.entries(ENDS)) {
      const isWhole = wholeAt.includes(size);
      const expected = isWhole ? RESULTS.whole : RESULTS[kind];
      test.serial(`${kind}, ${size} bytes: an answer that ends with ${name} is ${isWhole ? "whole" : "cut"}`, async (t) => {
        const address = await startServer(t, end);
        const host = await createTestHost([
          () => t.fail("The first server is replaced"),
          (_req, res) => void res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("second"),
        ], { serverAddresses: [address], maxBodyBytes: LARGE_BYTES });
        t.teardown(() => host.close());
        const startMs = performance.now();
        const request = { kind, body: "x".repeat(size), deadlineMs: 2 * DECISION_LIMIT_MS };
        const { status, body } = await host.call(request);
        t.deepEqual({ status, body, outcomes: host.outcomes }, expected);
        const elapsedMs = performance.now() - startMs;
        t.true(elapsedMs < DECISION_LIMIT_MS, `${elapsedMs} ms`);
      });
    }
  }
}
