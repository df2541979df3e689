import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import type { HostsResponse } from "@jaypass/configuration";
import {
  createTestAdministration,
  createTestHosts,
  exampleDocument,
  exampleWorkspace,
} from "@jaypass/configuration/testing";
import { EXIT_CODE, runCli } from "./mod.ts";

/** A port on which nothing listens. */
const CLOSED_PORT_URL = "http://127.0.0.1:1";

/** What a command printed. */
interface CliResult {
  code: number;
  output: string;
  errors: string;
}

/** Runs a command; reading a file yields its value in `files` as JSON. */
async function run(args: string[], options: {
  address?: string[];
  token?: string;
  files?: Record<string, unknown>;
} = {}): Promise<CliResult> {
  const { address = [], token = "all", files = {} } = options;
  const output: string[] = [];
  const errors: string[] = [];
  const code = await runCli(args, {
    env: { JAYPASS_TOKEN: token, JAYPASS_ADDRESS: address.join(",") },
    write: (text) => void output.push(text),
    writeError: (text) => void errors.push(text),
    readFile: (path) => Promise.resolve(JSON.stringify(files[path])),
  });
  return { code, output: output.join("\n"), errors: errors.join("\n") };
}

/** Starts the administration API of hosts that share a store. */
async function startAdministration(t: ExecutionContext, count = 1) {
  const system = createTestHosts(count, exampleDocument());
  t.teardown(system.stop);
  const ready = AbortSignal.timeout(8_000);
  for (const { configuration } of system.hosts) await configuration.ready(ready);
  const admins = await Promise.all(system.hosts.map(createTestAdministration));
  t.teardown(() => Promise.all(admins.map((admin) => admin.close())));
  return { ...system, address: admins.map((admin) => admin.url) };
}

/**
 * Starts a server that answers each method and path from a table and records the requests. An
 * answer of `"silent"` closes the connection.
 */
async function startAnsweringServer(
  t: ExecutionContext,
  answers: Record<string, (count: number) => { status?: number; body?: unknown } | "silent">,
) {
  const requests: { route: string; body: unknown; authorization?: string }[] = [];
  const server = createServer(async (req, res) => {
    let text = "";
    for await (const part of req) text += part;
    const route = `${req.method} ${req.url}`;
    const { authorization } = req.headers;
    requests.push({ route, body: text === "" ? undefined : JSON.parse(text), authorization });
    const count = requests.filter((known) => known.route === route).length;
    const answer = answers[route]?.(count) ?? { status: 404, body: {} };
    if (answer === "silent") return void req.socket.destroy();
    res.writeHead(answer.status ?? 200).end(answer.body && JSON.stringify(answer.body));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, requests };
}

test("an edited document is applied, and an outdated copy is refused with the conflicting change", async (t) => {
  const { address } = await startAdministration(t);
  const copy = JSON.parse((await run(["config", "get", "--json"], { address })).output);
  copy.document.workspaces["museum-0"].maxConcurrent = 5;
  const files = { "copy.json": copy };
  t.is(
    (await run(["config", "diff", "copy.json"], { address, files })).output,
    "~ workspaces.museum-0.maxConcurrent: 20 -> 5",
  );
  const first = await run(["config", "apply", "copy.json", "--why", "fewer"], { address, files });
  t.is(first.code, EXIT_CODE.OK, first.errors);
  t.regex(first.output, /^Stored as revision 2\n/);

  // The second operator still has revision 1 and sets the same entry to another value.
  copy.document.workspaces["museum-0"].maxConcurrent = 6;
  const second = await run(["config", "apply", "copy.json", "--why", "more"], { address, files });
  t.is(second.code, EXIT_CODE.CONFLICT);
  t.regex(second.errors, /Revision 2 by "all" changed "workspaces\/museum-0" meanwhile/);
  t.regex(second.errors, /fewer/);

  // A change of another entry in the same outdated copy does not conflict.
  copy.document.workspaces["museum-0"].maxConcurrent = 20;
  copy.document.workspaces["museum-1"].maxConcurrent = 7;
  const third = await run(["config", "apply", "copy.json", "--why", "more"], { address, files });
  t.is(third.code, EXIT_CODE.OK, third.errors);
  const section = ["config", "get", "--section", "workspaces", "--json"];
  const { entries } = JSON.parse((await run(section, { address })).output);
  t.like(entries, { "museum-0": { maxConcurrent: 5 }, "museum-1": { maxConcurrent: 7 } });

  const back = [
    "config",
    "roll-forward",
    "1",
    "--section",
    "workspaces",
    "--why",
    "undo",
    "--json",
  ];
  t.is(JSON.parse((await run(back, { address })).output).revision, 4);
  const { output } = await run(["config", "history", "--limit", "2"], { address });
  t.regex(output, /revision 4 .* undo\n {4}workspaces: museum-0, museum-1\n {2}revision 3/);
});

test("entries that the file does not contain are removed only with --replace", async (t) => {
  const { address } = await startAdministration(t);
  const files = { "part.json": { "museum-0": exampleWorkspace("museum-0") } };
  const args = ["config", "apply", "part.json", "--section", "workspaces", "--why", "x", "--json"];
  t.true(JSON.parse((await run(args, { address, files })).output).isUnchanged);
  const replaced = JSON.parse((await run([...args, "--replace"], { address, files })).output);
  t.like(replaced.differences[0], { section: "workspaces", entry: "museum-1", path: "" });
});

test("a file that is not valid is refused with the path of each issue", async (t) => {
  const { address } = await startAdministration(t);
  const files = { "bad.json": { models: { gids: { contextTokens: "1M" } } } };
  const result = await run(["config", "diff", "bad.json"], { address, files });
  t.is(result.code, EXIT_CODE.NOT_VALID);
  t.regex(result.errors, /^Not valid\n {2}models\.gids\.contextTokens: /);
});

test("when two operators take a data centre out through different hosts, one change is stored", async (t) => {
  const { address } = await startAdministration(t, 2);
  const out = (host: number, why: string) =>
    run(["data-centre", "out", "gent", "--why", why], { address: [address[host]!] });
  const results = await Promise.all([out(0, "flood"), out(1, "power")]);
  // The slower command may start after the other change is known, and then has nothing to change.
  const conflicts = results.filter(({ code }) => code === EXIT_CODE.CONFLICT);
  const unchanged = results.filter(({ output }) => output.startsWith("Nothing to change"));
  t.is(conflicts.length + unchanged.length, 1);
  t.is(results.filter(({ output }) => output.startsWith("Stored as revision 2")).length, 1);
  for (const { errors } of conflicts) t.regex(errors, /revision 2 .* (flood|power)/);
  const back = await run(["data-centre", "in", "gent", "--why", "dry"], { address });
  t.is(back.code, EXIT_CODE.OK);
  const leave = await run(["backend-server", "leave", "gent-1", "--why", "x"], { address });
  t.regex(leave.output, /backendServers\.gent-1\.state: "in" -> "leaving"/);
});

test("hosts that do not answer are skipped, and a change is repeated with the same id", async (t) => {
  const body = { revision: 3, changeId: "id", isUnchanged: false, differences: [] };
  const route = "POST /admin/v1/config/data-centres/gent/state";
  const silent = await startAnsweringServer(t, {
    "GET /admin/v1/config/revision": () => ({ body: { revision: 2, changeId: "a" } }),
    [route]: () => "silent",
  });
  const other = await startAnsweringServer(t, { [route]: () => ({ body }) });
  const args = ["data-centre", "out", "gent", "--why", "x"];
  const result = await run(args, { address: [CLOSED_PORT_URL, silent.url, other.url] });
  t.is(result.code, EXIT_CODE.OK, result.errors);
  t.deepEqual(other.requests[0]?.body, silent.requests[1]?.body);
  t.like(other.requests[0], {
    authorization: "Bearer all",
    body: { baseRevision: 2, state: "out" },
  });
  t.regex(result.errors, /No answer from http:\/\/127\.0\.0\.1:1/);

  // A refusal by another host does not tell whether the first host stored the change.
  const refusing = await startAnsweringServer(t, {
    [route]: () => ({ status: 422, body: { error: { reason: "not_valid", message: "No" } } }),
  });
  t.is((await run(args, { address: [silent.url, refusing.url] })).code, EXIT_CODE.UNKNOWN);

  // No other host answers, so the change may have been stored.
  t.is((await run(args, { address: [silent.url, CLOSED_PORT_URL] })).code, EXIT_CODE.UNKNOWN);
  t.is((await run(["status"], { address: [CLOSED_PORT_URL] })).code, EXIT_CODE.UNREACHABLE);
});

test("waiting for a change shows how many hosts have the revision", async (t) => {
  const hosts = (reached: number): HostsResponse => ({
    askedHost: "h0",
    hosts: [0, 1, 2, 3].map((n) => ({
      host: `h${n}`,
      dataCentre: "gent",
      state: n === 3 ? "dead" : "alive",
      peerAddress: "127.0.0.1:1",
      callerUrl: "http://127.0.0.1:2",
      incarnation: "1",
      revision: n < reached ? 42 : n === 3 ? null : 41,
    })),
  });
  const { url } = await startAnsweringServer(t, {
    "GET /admin/v1/config/revision": () => ({ body: { revision: 41, changeId: "a" } }),
    "POST /admin/v1/config/data-centres/gent/state": () => ({
      body: { revision: 42, changeId: "id", isUnchanged: false, differences: [] },
    }),
    "GET /admin/v1/hosts": (count) => ({ body: hosts(count) }),
  });
  const args = ["data-centre", "out", "gent", "--why", "x", "--wait"];
  const result = await run(args, { address: [url] });
  t.is(result.code, EXIT_CODE.OK);
  t.deepEqual(result.errors.split("\n"), [
    "1 of 3 hosts at revision 42",
    "2 of 3 hosts at revision 42",
    "3 of 3 hosts at revision 42",
  ]);
});

test("the other commands print tables or JSON and send what operators decided", async (t) => {
  const { url, requests } = await startAnsweringServer(t, {
    "GET /admin/v1/status": () => ({
      body: { host: "h0", revision: 4, state: "serving", counters: { "refusal{reason=x}": 2 } },
    }),
    "GET /admin/v1/hosts": () => ({
      body: { askedHost: "h0", hosts: [{ host: "h0", dataCentre: "gent", revision: null }] },
    }),
    "GET /admin/v1/engines": () => ({
      body: { engines: [{ name: "gent-1", pool: "gids@gent", state: "warm", coordinator: null }] },
    }),
    "GET /admin/v1/quarantine": () => ({
      body: { entries: [{ fingerprint: "f1", sinceMs: 0, expiresInMs: 1_500 }] },
    }),
    "DELETE /admin/v1/quarantine/f1": () => ({ status: 204 }),
    "GET /admin/v1/calls/unknown?limit=100": () => ({
      body: { calls: [{ workspace: "w", service: "s", key: "k", attempt: "a", host: "h" }] },
    }),
    "POST /admin/v1/calls/settle": () => ({ status: 204 }),
    "POST /admin/v1/leases/confirm-dead": () => ({ body: { leases: ["gids@gent"] } }),
    "GET /admin/v1/requests/r1/explanation": () => ({
      body: {
        requestId: "r1",
        workspace: "w",
        host: "h0",
        outcome: "done",
        steps: [{ atMs: 1.2, step: "granted", detail: "gent-1 has the prefix" }],
      },
    }),
  });
  const commands = [
    ["status"],
    ["hosts"],
    ["engines"],
    ["engines", "--json"],
    ["quarantine", "list"],
    ["quarantine", "release", "f1"],
    ["calls", "unknown"],
    ["calls", "settle", "w", "s", "k", "--decision", "not_run", "--why", "seen"],
    ["leases", "confirm-dead", "h1", "inc", "--why", "burnt"],
    ["request", "explain", "r1"],
  ];
  const results: Record<string, unknown> = {};
  for (const args of commands) results[args.join(" ")] = await run(args, { address: [url] });
  t.snapshot(results);
  t.snapshot(requests.filter(({ body }) => body !== undefined).map(({ body }) => body));
});

test("each kind of failure has its own exit code", async (t) => {
  const { address } = await startAdministration(t);
  const code = async (args: string[], options: object = { address }) =>
    (await run(args, options)).code;
  t.is(await code(["config", "get"], {}), EXIT_CODE.USAGE);
  t.is(await code(["config", "get"], { address: ["localhost"] }), EXIT_CODE.USAGE);
  t.is(await code(["config", "get"], { address, token: "" }), EXIT_CODE.USAGE);
  t.is(await code(["data-centre", "out", "gent"]), EXIT_CODE.USAGE);
  t.is(await code(["nothing"]), EXIT_CODE.USAGE);
  t.is(await code(["--help"]), EXIT_CODE.OK);
  t.is(await code(["config", "get"], { address, token: "who" }), EXIT_CODE.NOT_ALLOWED);
  t.is(await code(["data-centre", "out", "nowhere", "--why", "x"]), EXIT_CODE.NOT_FOUND);
  t.is(await code(["config", "get", "--revision", "99"]), EXIT_CODE.NOT_FOUND);
  const refused = await run(["config", "get", "--json"], { address, token: "who" });
  t.is(JSON.parse(refused.errors).error.reason, "unauthorized");
});
