import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
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

const ALL = [SMALL_BYTES, LARGE_BYTES];

/** How a server ends its answer after the first part of the request, and the requests for which it is whole. */
const ENDS: Record<string, [end: (socket: Socket) => void, wholeAt: number[]]> = {
  "a reset": [(socket) => void socket.write(ANSWER, () => socket.resetAndDestroy()), []],
  "a FIN, and reads on": [(socket) => void socket.end(ANSWER).resume(), ALL],
  "a FIN, and reads no further": [(socket) => void socket.end(ANSWER).pause(), [SMALL_BYTES]],
  "a FIN and then a reset": [(socket) => {
    socket.end(ANSWER).pause();
    setTimeout(() => socket.destroy(), RESET_DELAY_MS);
  }, [SMALL_BYTES]],
  "a close while more of the request arrives": [
    (socket) => void socket.end(ANSWER, () => socket.destroy()),
    [SMALL_BYTES],
  ],
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
  await once(server.listen(0, "127.0.0.1"), "listening");
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const CUT = {
  [ROUTE_KIND.IDEMPOTENT]: [200, "second", ["broken", "answered"]],
  [ROUTE_KIND.NON_IDEMPOTENT]: [502, '{"error":"server_broke_off"}', ["broken"]],
};

// Guards against cut answers that look whole, and against a second run after a whole answer.
for (const kind of [ROUTE_KIND.IDEMPOTENT, ROUTE_KIND.NON_IDEMPOTENT]) {
  for (
    const [size, [name, [end, wholeAt]]] of ALL.flatMap((size) =>
      Object.entries(ENDS).map((entry) => [size, entry] as const)
    )
  ) {
    const isWhole = wholeAt.includes(size);
    test.serial(`${kind}, ${size} bytes: an answer that ends with ${name} is ${isWhole ? "whole" : "cut"}`, async (t) => {
      const second: ServerBehaviour = (_req, res) =>
        void res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("second");
      const serverAddresses = [await startServer(t, end)];
      const options = { serverAddresses, maxBodyBytes: LARGE_BYTES };
      const host = await createTestHost([second, second], options);
      t.teardown(() => host.close());
      const startMs = performance.now();
      const call = { kind, body: "x".repeat(size), deadlineMs: 2 * DECISION_LIMIT_MS };
      const { status, body } = await host.call(call);
      const elapsedMs = performance.now() - startMs;
      t.deepEqual(
        [status, body, host.outcomes],
        isWhole ? [200, "whole", ["answered"]] : CUT[kind],
      );
      t.true(elapsedMs < DECISION_LIMIT_MS, `${elapsedMs} ms`);
    });
  }
}
