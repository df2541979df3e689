import test from "ava";
import { parseSettings } from "./settings.ts";

const VALID = {
  host: "h1",
  dataCentre: "gent",
  callerListen: "127.0.0.1:8080",
  peerListen: "127.0.0.1:8081",
  platform: {
    tables: "http://127.0.0.1:7000",
    objects: "http://127.0.0.1:7000",
    hostList: "http://127.0.0.1:7000",
    weights: "http://127.0.0.1:7000",
  },
  tls: "off",
  owners: {},
};

function messageOf(change: object): string | undefined {
  try {
    parseSettings({ ...VALID, ...change });
  } catch (err) {
    return (err as Error).message;
  }
}

test("valid settings get the documented defaults", (t) => {
  t.snapshot(parseSettings(VALID).limits);
});

test("a wrong, unknown or missing value is named by its path", (t) => {
  t.snapshot([
    messageOf({ host: undefined }),
    messageOf({ callerListen: "localhost:8080" }),
    messageOf({ limits: { bodyTimeoutMs: "10s" } }),
    messageOf({ limits: { bodyTimeout: 10 } }),
    messageOf({ tls: { caFile: "ca.pem" } }),
    messageOf({ owners: { operators: { tokenHash: "secret", sections: [] } } }),
    messageOf({ colour: "blue" }),
  ]);
});

test("a grace period in which address lists cannot expire before the services stop is refused", (t) => {
  t.is(parseSettings(VALID).stopGraceMs, 120_000);
  t.is(parseSettings({ ...VALID, stopGraceMs: 50_000 }).stopGraceMs, 50_000);
  t.regex(messageOf({ stopGraceMs: 49_999 }) ?? "", /"stopGraceMs"/);
});
