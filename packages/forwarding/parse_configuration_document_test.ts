import test from "ava";
import fc from "fast-check";
import { DecodeError } from "@jaypass/kernel";
import { MAX_ROUTE_TIME_MS } from "./constants.ts";
import { parseConfigurationDocument } from "./parse_configuration_document.ts";

const ROUTE = {
  name: "r",
  host: "a.example",
  prefix: "/a/",
  kind: "streaming",
  timeoutMs: 1_000,
  goalMs: 100,
  pauseGoalMs: 200,
  patienceMs: 2_000,
  priority: 0,
  targets: [{ service: "s", weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  isResumable: true,
};
const ENGINE = {
  slots: 8,
  memoryTokens: 400_000,
  stepMs: 1.3,
  perWriterMs: 0,
  contextMsPerThousand: 0,
  readTokensPerMs: 154,
  pairMsPerMillion: 0.16,
  stepsPerPass: 34,
  chunkTokens: 2_048,
  usualPromptTokens: 0,
  usualAnswerTokens: 0,
};
const DOCUMENT = {
  version: 7,
  routes: [ROUTE],
  services: [{ name: "s", coldRequestsPerS: 36, engine: ENGINE }, {
    name: "p",
    coldRequestsPerS: 0,
    engine: undefined,
  }],
  workspaces: [{ name: "w", keys: ["k"] }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
};

const nest = (levels: number) => JSON.parse("[".repeat(levels) + "]".repeat(levels));

test("a valid document is returned without unknown fields", (t) => {
  const more = { ...DOCUMENT, nested: nest(100_000), routes: [{ ...ROUTE, nested: nest(9) }] };
  t.deepEqual(parseConfigurationDocument(more), DOCUMENT as unknown as typeof more);
});

test("times beyond a day are shortened, so that their timers do not fire at once", (t) => {
  const times = { timeoutMs: 2 ** 31, goalMs: 1e300, pauseGoalMs: 1e300, patienceMs: 1e300 };
  const [route] = parseConfigurationDocument({
    ...DOCUMENT,
    routes: [{ ...ROUTE, ...times }],
  }).routes;
  t.like(route, {
    timeoutMs: MAX_ROUTE_TIME_MS,
    goalMs: MAX_ROUTE_TIME_MS,
    pauseGoalMs: MAX_ROUTE_TIME_MS,
    patienceMs: MAX_ROUTE_TIME_MS,
  });
});

test("an empty key belongs to no workspace", (t) => {
  const workspaces = [{ name: "w", keys: ["", "k"] }];
  t.deepEqual(parseConfigurationDocument({ ...DOCUMENT, workspaces }).workspaces, [
    { name: "w", keys: ["k"] },
  ]);
});

const withRoute = (changes: object) => ({ ...DOCUMENT, routes: [{ ...ROUTE, ...changes }] });
const withEngine = (changes: object) => ({
  ...DOCUMENT,
  services: [{ name: "s", coldRequestsPerS: 0, engine: { ...ENGINE, ...changes } }],
});
const INVALID: Record<string, unknown> = {
  "null": null,
  "an array": [DOCUMENT],
  "null as routes": { ...DOCUMENT, routes: null },
  "an object as routes": { ...DOCUMENT, routes: {} },
  "null among the routes": { ...DOCUMENT, routes: [null] },
  "deeply nested routes": { ...DOCUMENT, routes: nest(100_000) },
  "null as services": { ...DOCUMENT, services: null },
  "null as workspaces": { ...DOCUMENT, workspaces: null },
  "no limits": { ...DOCUMENT, limits: undefined },
  "a version of 1e300": { ...DOCUMENT, version: 1e300 },
  "a negative version": { ...DOCUMENT, version: -1 },
  "a negative timeout": withRoute({ timeoutMs: -1 }),
  "an infinite timeout": withRoute({ timeoutMs: Infinity }),
  "an unknown route kind": withRoute({ kind: "__proto__" }),
  "a negative weight": withRoute({ targets: [{ service: "s", weight: -1 }] }),
  "a weight of 1e300": withRoute({ targets: [{ service: "s", weight: 1e300 }] }),
  "a reading rate of zero": withEngine({ readTokensPerMs: 0 }),
  "no steps per pass": withEngine({ stepsPerPass: 0 }),
  "no tokens per chunk": withEngine({ chunkTokens: 0 }),
  "a negative step time": withEngine({ stepMs: -1 }),
  "a workspace name with a line break": {
    ...DOCUMENT,
    workspaces: [{ name: "w\r\nx: y", keys: [] }],
  },
};
for (const [name, document] of Object.entries(INVALID)) {
  test(`a document with ${name} is refused`, (t) => {
    t.throws(() => parseConfigurationDocument(document), { instanceOf: DecodeError });
  });
}

test("an arbitrary document is parsed or refused with a DecodeError", (t) => {
  const route = fc.oneof(fc.jsonValue(), fc.record({ ...constants(ROUTE), kind: fc.string() }));
  const documents = fc.oneof(
    fc.jsonValue(),
    fc.record({ ...constants(DOCUMENT), routes: fc.array(route) }),
    fc.record({ ...constants(DOCUMENT), services: fc.jsonValue(), limits: fc.jsonValue() }),
  );
  fc.assert(fc.property(documents, (document) => {
    try {
      JSON.stringify(parseConfigurationDocument(document));
    } catch (err) {
      if (!(err instanceof DecodeError)) throw err;
    }
  }));
  t.pass();
});

function constants(value: object): Record<string, fc.Arbitrary<unknown>> {
  return Object.fromEntries(
    Object.entries(value).map(([key, field]) => [key, fc.constant<unknown>(field)]),
  );
}
