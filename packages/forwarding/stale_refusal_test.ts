import type { IncomingMessage } from "node:http";
import test from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const OTHERS_REFUSAL =
  "HTTP/1.1 503 Full\r\nAttempt: earlier\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const OWN_REFUSAL = OTHERS_REFUSAL.replace("earlier", "a1");
const UNNAMED_REFUSAL = OTHERS_REFUSAL.replace("Attempt: earlier\r\n", "");
const REFUSAL_AS_INFORMATION = "HTTP/1.1 103 Early Hints\r\nAttempt: a1\r\nNot-Run: 1\r\n\r\n";
const OWN_ANSWER = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Length: 3\r\n\r\nown";

const writeRaw = (...answers: string[]): ServerBehaviour => (_req, res) => {
  res.socket?.write(answers.join(""));
};

const answerWhole: ServerBehaviour = (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("other");
};

const leaveUnanswered: ServerBehaviour = () => {};

/** Ways in which a server that runs a request writes a refusal of an earlier request. */
const STALE_REFUSALS: Record<
  string,
  { answers: string[]; isEarly?: boolean; bodyLength?: number }
> = {
  "alone": { answers: [OTHERS_REFUSAL] },
  "twice": { answers: [OTHERS_REFUSAL, OTHERS_REFUSAL] },
  "before the true answer": { answers: [OTHERS_REFUSAL, OWN_ANSWER] },
  "after an informational answer": { answers: [REFUSAL_AS_INFORMATION, OTHERS_REFUSAL] },
  "on a new connection": { answers: [OTHERS_REFUSAL], isEarly: true },
  // A body larger than the socket buffers is not completely written when the refusal arrives.
  "before the request was written": {
    answers: [OTHERS_REFUSAL],
    isEarly: true,
    bodyLength: 990_000,
  },
};

for (const [name, { answers, isEarly, bodyLength = 0 }] of Object.entries(STALE_REFUSALS)) {
  const startHost = (maxAttempts: number) => {
    const text = answers.join("");
    return createTestHost([isEarly ? leaveUnanswered : writeRaw(text), answerWhole], {
      maxAttempts,
      onConnection: (socket, server) => isEarly && server === 0 && void socket.write(text),
    });
  };
  const body = "x".repeat(bodyLength);

  test(`a refusal of another request, ${name}: a non-idempotent request runs once and is not reported as not run`, async (t) => {
    const host = await startHost(2);
    t.teardown(() => host.close());
    const { status, retryAfter } = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT, body });
    t.deepEqual([status, retryAfter], [502, undefined]);
    t.false(host.arrivals.some(({ server }) => server === 1));
    t.deepEqual(host.outcomes, ["broken"]);
  });

  test(`a refusal of another request, ${name}: a repeatable request is answered by another server or fails as one that may have run`, async (t) => {
    for (const [maxAttempts, expected] of [[2, [200, "other"]], [1, [502]]] as const) {
      const host = await startHost(maxAttempts);
      t.teardown(() => host.close());
      const result = await host.call({ body });
      t.deepEqual([result.status, result.body].slice(0, expected.length), [...expected]);
      t.is(result.retryAfter, undefined);
    }
  });
}

for (
  const [name, refusal] of Object.entries({ own: OWN_REFUSAL, unnamed: UNNAMED_REFUSAL })
) {
  test(`an ${name} refusal that is written twice leads to one attempt at another server`, async (t) => {
    const behaviours = [writeRaw(refusal, refusal), answerWhole, answerWhole];
    const host = await createTestHost(behaviours, { maxAttempts: 3 });
    t.teardown(() => host.close());
    const { status, body } = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
    t.deepEqual([status, body], [200, "other"]);
    t.deepEqual(host.arrivals.map(({ server }) => server), [0, 1]);
  });
}

test("an informational answer with the headers of a refusal does not refuse the request", async (t) => {
  const host = await createTestHost([writeRaw(REFUSAL_AS_INFORMATION, OWN_ANSWER), answerWhole], {
    maxAttempts: 2,
  });
  t.teardown(() => host.close());
  const { status, body } = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
  t.deepEqual([status, body, host.arrivals.length], [200, "own", 1]);
});

test("a refusal that is left on a connection after its answer does not reach the next request", async (t) => {
  const sockets = new Set<IncomingMessage["socket"]>();
  const behaviour: ServerBehaviour = (req, res) => {
    sockets.add(req.socket);
    res.socket?.write(OWN_ANSWER + UNNAMED_REFUSAL + UNNAMED_REFUSAL);
  };
  const host = await createTestHost([behaviour]);
  t.teardown(() => host.close());
  for (let n = 1; n <= 3; n++) {
    const { status, body } = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
    t.deepEqual([status, body, sockets.size], [200, "own", n]);
  }
});

for (const status of [408, 421, 429, 503]) {
  test(`an answer with status ${status} that does not state that the request was not run is not passed on as such`, async (t) => {
    for (const kind of [ROUTE_KIND.NON_IDEMPOTENT, ROUTE_KIND.STREAMING]) {
      const unmarked: ServerBehaviour = (_req, res) => {
        res.writeHead(status, { Attempt: "a1", Seal: "s" }).end("ran");
      };
      const host = await createTestHost([unmarked, unmarked], { maxAttempts: 2 });
      t.teardown(() => host.close());
      const result = await host.call({ kind });
      t.deepEqual([result.status, result.retryAfter], [502, undefined]);
      t.is(host.arrivals.length, kind === ROUTE_KIND.NON_IDEMPOTENT ? 1 : 2);
    }
  });
}
