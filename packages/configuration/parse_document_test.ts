import { readFileSync } from "node:fs";
import test from "ava";
import { exampleDocument, exampleEngine } from "./_testing/example_document.ts";
import { ConfigurationError, parseDocument } from "./mod.ts";

// deno-lint-ignore no-explicit-any
type Loose = any;

/** Returns the issues of the example document after an edit, as `path: message`. */
function issuesAfter(edit: (document: Loose) => void): string[] {
  const document = exampleDocument();
  edit(document);
  try {
    parseDocument(document);
  } catch (err) {
    if (err instanceof ConfigurationError) {
      return err.issues.map(({ path, message }) => `${path}: ${message}`);
    }
    throw err;
  }
  return [];
}

test("a valid document is accepted unchanged", (t) => {
  t.deepEqual(parseDocument(exampleDocument()), exampleDocument());
});

test("invalid values are refused with their paths", (t) => {
  t.snapshot({
    unknownSection: issuesAfter((d) => d.modles = {}),
    missingSection: issuesAfter((d) => delete d.timeouts),
    unknownKey: issuesAfter((d) => d.models.gids.colour = "red"),
    otherUnit: issuesAfter((d) => {
      const [span] = d.timeouts.parent.hours;
      span.timeoutSeconds = 30;
      delete span.timeoutMs;
    }),
    secondsAsMs: issuesAfter((d) => d.timeouts.parent.hours[0].firstTokenMs = 2),
    unitInText: issuesAfter((d) => d.dataCentres.gent.oneWayMs.brussel = "0.5ms"),
    badName: issuesAfter((d) => d.models["gids@gent"] = d.models.gids),
    reservedName: issuesAfter((d) => d.dataCentres.constructor = d.dataCentres.gent),
    badHash: issuesAfter((d) => d.workspaces["museum-0"].keyHash = "secret"),
    badUrl: issuesAfter((d) => d.backendServers["gent-1"].url = "tcp://127.0.0.1:1"),
    badZone: issuesAfter((d) => d.timeouts.parent.timeZone = "Europe/Gent"),
    notAnObject: issuesAfter((d) => d.workspaces = []),
  });
});

test("invalid references between entries are refused with their paths", (t) => {
  t.snapshot({
    missingModel: issuesAfter((d) => d.backendServers["gent-1"].serves = "other"),
    engineOfService: issuesAfter((d) => d.backendServers["gent-1"].serves = "booking"),
    missingDataCentre: issuesAfter((d) => delete d.dataCentres.brussel),
    workspaceModel: issuesAfter((d) => d.workspaces["museum-0"].models = ["other"]),
    workspaceService: issuesAfter((d) => d.workspaces["museum-0"].services = ["other"]),
    sharedKey: issuesAfter((d) =>
      d.workspaces["museum-1"].keyHash = d.workspaces["museum-0"].keyHash
    ),
    sharedUrl: issuesAfter((d) =>
      d.backendServers["brussel-1"].url = `${d.backendServers["gent-1"].url}/`
    ),
    coldAboveWarm: issuesAfter((d) => d.backendServers["gent-1"].coldLimit = 17),
    engineWithoutMemory: issuesAfter((d) => d.backendServers["gent-1"].memoryTokens = 0),
    sameNames: issuesAfter((d) => d.services.gids = d.services.booking),
    fullPartition: issuesAfter((d) => {
      for (let n = 0; n < 17; n++) {
        d.backendServers[`e${n}`] = { ...exampleEngine(100 + n), partition: 3 };
      }
    }),
  });
});

test("the spans of a caller kind must cover each hour once", (t) => {
  const withSpans = (...spans: [number, number][]) =>
    issuesAfter((d) =>
      d.timeouts.parent.hours = spans.map(([fromHour, toHour]) => ({
        fromHour,
        toHour,
        timeoutMs: 1_000,
        firstTokenMs: 1_000,
      }))
    );
  t.snapshot({
    wholeDay: withSpans([0, 24]),
    acrossMidnight: withSpans([22, 6], [6, 22]),
    gap: withSpans([0, 5], [7, 24]),
    gapAcrossMidnight: withSpans([1, 23]),
    overlap: withSpans([0, 8], [7, 24]),
    overlapAcrossMidnight: withSpans([22, 7], [6, 22]),
    empty: withSpans([7, 7]),
    firstTokenLater: issuesAfter((d) => d.timeouts.parent.hours[0].firstTokenMs = 40_000),
  });
});

test("the example of the documentation is valid", (t) => {
  const page = readFileSync(new URL("../../docs/configuration.md", import.meta.url), "utf8");
  const example = /```json\n([\s\S]*?)```/.exec(page)?.[1];
  t.notThrows(() => parseDocument(JSON.parse(example ?? "")));
});
