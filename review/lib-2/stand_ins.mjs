// Stand-ins of the platform for the scripts of the second review: store, engines and callers. They do
// what the platform's pages state and no more; where a page is silent they behave like a sound one.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startMs = performance.now();
export const nowMs = () => performance.now() - startMs;

/** Third number of the loopback addresses, so that runs at the same time do not meet. */
const NETWORK = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}`;

/** Writes lines to record.txt of a case. */
export function createRecord(path) {
  writeFileSync(path, "");
  return (text) => appendFileSync(path, `${(nowMs() / 1000).toFixed(3)} ${text}\n`);
}

/** The platform's store: tables of rows, transactions and feeds. */
export async function startStore() {
  const rows = new Map();
  const listeners = new Set();
  let version = 1;
  let era = 0;
  const put = (table, part, key, value) => {
    version += 1;
    rows.set(`${table}\n${part}\n${key}`, { table, part, key, value, row_version: version });
    for (const notify of [...listeners]) notify();
  };
  const send = (res, status, body) => {
    const text = JSON.stringify({ ...body, row_version: version, now_ms: Math.round(nowMs()) });
    res.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
      "Store-Era": String(era),
    }).end(text);
  };
  const transact = (res, { expected = [], upserts = [], remove = [] }) => {
    const find = ({ table, part, key }) => rows.get(`${table}\n${part}\n${key}`);
    const versionOf = (row) => {
      const known = find(row);
      return known?.value === undefined ? 0 : known.row_version;
    };
    if ([...upserts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
      return send(res, 403, {});
    }
    if (expected.some((row) => versionOf(row) !== row.row_version)) {
      return send(res, 412, { rows: expected.flatMap((row) => find(row) ?? []) });
    }
    for (const { table, part, key, value } of upserts) put(table, part, key, value);
    for (const { table, part, key } of remove) put(table, part, key, undefined);
    send(res, 200, {});
  };
  const feed = (res, query) => {
    const since = Number(query.get("since_rev"));
    if (since > version) return send(res, 410, {});
    const list = () =>
      [...rows.values()].filter((row) =>
        row.table === query.get("table") && row.row_version > since
      ).sort((a, b) => a.row_version - b.row_version)
        .map((row) => row.value === undefined ? { ...row, deleted: true } : row);
    const answer = () => {
      listeners.delete(check);
      clearTimeout(timer);
      send(res, 200, { rows: list() });
    };
    const check = () => {
      if (list().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(query.get("wait_ms") ?? 0));
    listeners.add(check);
    res.once("close", () => {
      listeners.delete(check);
      clearTimeout(timer);
    });
    check();
  };
  const server = createServer(async (req, res) => {
    let text = "";
    for await (const chunk of req.setEncoding("utf8")) text += chunk;
    const url = new URL(req.url, "http://store");
    await sleep(4);
    if (url.pathname === "/rows-tx") return transact(res, JSON.parse(text));
    if (url.pathname === "/rows-feed") return feed(res, url.searchParams);
    if (url.pathname !== "/rows-get") return send(res, 404, {});
    const query = url.searchParams;
    const found = [...rows.values()].filter((row) =>
      row.table === query.get("table") && row.part === (query.get("part") ?? "") &&
      row.value !== undefined && row.key >= (query.get("from") ?? "")
    ).sort((a, b) => (a.key < b.key ? -1 : 1));
    send(res, 200, { rows: found.slice(0, 500), has_more: found.length > 500 });
  });
  server.keepAliveTimeout = 30_000;
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes as the operator or an engine does; undefined removes the row. */
    write: (table, key, value) =>
      put(table, "", key, value && Buffer.from(JSON.stringify(value)).toString("base64")),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Milliseconds between two entries of an engine. */
const HEARTBEAT_MS = 1_200;
/** Prompt tokens that an engine reads in a millisecond, and time and tokens of an event. */
const READ_TOKENS_PER_MS = 154;
const EVENT_MS = 45;
const EVENT_TOKENS = 34;
/** Event after which an engine may fall silent for a while. */
const SILENT_AFTER_EVENT = 5;

/** All engines by address, for the tickets of helpers. */
const engines = new Map();

/**
 * An engine with slots, a queue, reservations and load reports. `onRun` gets each request that begins
 * to run, `onTicketUse` the attempts that use a ticket each time that one more does, and `onCut` each
 * request that is cut off because its ticket has ended, and `onEnd` the end of each stream. `silenceMs`
 * returns for how long an attempt's stream falls silent. `pairsPerM` adds the time of pairs of tokens.
 */
export async function startEngine({ store, id, service, zone, slots, queue = 32, kvTokens = 405_000,
  readTokensPerMs = READ_TOKENS_PER_MS, eventMs = EVENT_MS, callMs = 40, pairsPerM = 0, onRun = () => {}, onReject = () => {}, onTicketUse = () => {},
  onCut = () => {}, silenceMs = () => 0, onEnd = () => {} }) {
  const tickets = new Map();
  let born = Date.now();
  const waiting = [];
  let running = 0;
  let sequence = 0;
  const isModel = service.startsWith("model");
  const endTicket = (name, reason) => {
    const ticket = tickets.get(name);
    tickets.delete(name);
    for (const [res, attempt] of ticket?.users ?? []) {
      if (res.writableEnded || res.destroyed) continue;
      onCut({ id, ticket: name, attempt, reason });
      res.destroy();
    }
  };
  const heldTokens = () => {
    for (const [name, { untilMs }] of tickets) if (untilMs <= nowMs()) endTicket(name, "expired");
    return [...tickets.values()].reduce((sum, { tokens }) => sum + tokens, 0);
  };
  const json = (res, status, body) =>
    res.writeHead(status, { "Content-Type": "application/json" })
      .end(JSON.stringify({ ...body, born }));
  const reject = (res, status, attempt, reason, faulty = engine.address) => {
    onReject({ id, attempt, status, reason });
    res.writeHead(status, {
      "Jaypass-Not-Executed": "1",
      "At-Server": faulty,
      ...(attempt !== undefined && { "Jaypass-Attempt-Id": attempt }),
    }).end();
  };
  const takeSlot = (res) =>
    new Promise((resolve) => {
      if (running < slots) {
        running += 1;
        return resolve(true);
      }
      if (waiting.length >= queue) return resolve(false);
      const entry = { resolve };
      waiting.push(entry);
      res.once("close", () => {
        const at = waiting.indexOf(entry);
        if (at >= 0) waiting.splice(at, 1);
      });
    });
  const freeSlot = () => {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next.resolve(true);
  };
  const order = (res, { operation, id: name, tokens, hold_ms: holdMs }) => {
    if (operation === "release") {
      endTicket(name, "released");
      return json(res, 200, { free: kvTokens - heldTokens() });
    }
    if (operation !== "reserve" || tokens > kvTokens) return json(res, 400, {});
    const known = tickets.get(name);
    const free = kvTokens - heldTokens() + (known?.tokens ?? 0);
    if (tokens > free) return json(res, 409, { free });
    tickets.set(name, { tokens, untilMs: nowMs() + holdMs, users: known?.users ?? new Map() });
    return json(res, 200, { free: free - tokens });
  };
  const stream = async (req, res, attempt, headers) => {
    const [prompt, answer] = (req.headers["jaypass-token-counts"] ?? "1000,340").split(",");
    const events = Math.max(1, Math.ceil(Number(answer) / EVENT_TOKENS));
    const helpers = (req.headers["jaypass-helpers"] ?? "").split(",").filter((text) => text !== "");
    for (const [address, ticket] of helpers.map((text) => text.split("/"))) {
      const isKnown = engines.get(address)?.use(ticket, res, attempt) ?? false;
      if (!isKnown) return reject(res, 503, attempt, `helper ${address}`, address);
    }
    const pairsMs = Number(prompt) ** 2 / 2 / 1e6 * pairsPerM;
    await sleep((Number(prompt) / readTokensPerMs + pairsMs) / (1 + helpers.length));
    if (res.destroyed) return;
    onRun({ id, attempt, helpers });
    res.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    const first = Number(req.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= events && !res.destroyed; event++) {
      res.write(`id: ${event}\ndata: ${attempt}\n\n`);
      await sleep(eventMs);
      if (event === SILENT_AFTER_EVENT) await sleep(silenceMs(attempt));
    }
    onEnd({ id, attempt, isWhole: !res.destroyed });
    res.end();
  };
  const server = createServer({ maxHeaderSize: 131_072 }, async (req, res) => {
    let text = "";
    for await (const chunk of req.setEncoding("utf8")) text += chunk;
    const attempt = req.headers["jaypass-attempt-id"];
    const expected = req.headers["jaypass-expect-instance"];
    if (expected !== undefined && expected !== id) return reject(res, 421, attempt, "instance");
    if (req.url === "/report") {
      return json(res, 200, {
        stage: "unified", models: [], busy: false, sequence, queued: waiting.length, running,
        kv_used: heldTokens(), kv_total: kvTokens, handles: 0,
        tickets: [...tickets].map(([name, { tokens, users }]) => ({
          id: name, tokens, state: users.size > 0 ? "used" : "held", age_ms: 0,
        })),
      });
    }
    if (req.url === "/order") return order(res, JSON.parse(text));
    if (attempt === undefined) return reject(res, 400, attempt, "no id");
    if (!await takeSlot(res)) return reject(res, 503, attempt, "full");
    try {
      if (res.destroyed) return;
      const headers = {
        "Jaypass-Attempt-Id": attempt,
        "Jaypass-Engine-Seal": `${id}.${attempt}`,
      };
      if (isModel) return await stream(req, res, attempt, headers);
      onRun({ id, attempt, helpers: [] });
      await sleep(callMs);
      const body = `${attempt} answered by ${id}`;
      res.writeHead(200, { ...headers, "Content-Length": Buffer.byteLength(body) }).end(body);
    } finally {
      freeSlot();
    }
  });
  server.maxHeadersCount = 0;
  server.keepAliveTimeout = 30_000;
  server.on("clientError", (_err, socket) => socket.destroy());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address();
  let isDown = false;
  const writeEntry = () =>
    !isDown && store.write("servers", id, {
      service, address: engine.address, zone, version: 1, slot_count: slots, state: "ready",
      cold_left_ms: 0, sequence: ++sequence, born,
    });
  const engine = {
    id,
    address: `127.0.0.1:${port}`,
    /** Crashes, and starts again under its id and address after a time. */
    async crash(downMs) {
      isDown = true;
      const closed = once(server, "close");
      server.close();
      server.closeAllConnections();
      for (const name of [...tickets.keys()]) endTicket(name, "lost");
      await closed;
      await sleep(downMs);
      born = Date.now();
      sequence = 0;
      isDown = false;
      server.listen(port, "127.0.0.1");
      await once(server, "listening");
      writeEntry();
    },
    running: () => running,
    tickets,
    /** Uses a ticket for a request that another engine answers; false without that ticket. */
    use(name, res, attempt) {
      if (name === undefined) return true;
      const users = tickets.get(name)?.users;
      if (users === undefined) return false;
      users.set(res, attempt);
      res.once("close", () => users.delete(res));
      onTicketUse({ id, ticket: name, attempts: [...users.values()] });
      return true;
    },
    close() {
      clearInterval(timer);
      clearInterval(expiryTimer);
      engines.delete(engine.address);
      server.close();
      server.closeAllConnections();
    },
  };
  engines.set(engine.address, engine);
  const expiryTimer = setInterval(heldTokens, 50);
  writeEntry();
  const timer = setInterval(writeEntry, HEARTBEAT_MS);
  return engine;
}

/** The operator's configuration of a model service and a plain one. */
export function buildConfiguration({ version = 1, slots, engine = {}, auditGoalMs = 3_000 }) {
  const model = (name, prefix, target, gap, timeout) => ({
    name, prefix, host: "a.example", kind: "streaming", resumable: true, timeout_ms: timeout,
    target_latency_ms: target, gap_goal_ms: gap, priority: 1, max_attempts: 2, sticky: true,
    service: "model",
  });
  const call = (name, prefix, kind, attempts) => ({
    name, prefix, host: "a.example", kind, timeout_ms: 1_200, target_latency_ms: 193, priority: 2,
    max_attempts: attempts, service: "app",
  });
  return {
    version,
    routes: [
      model("note", "/note/", 300, 250, 10_000),
      model("review", "/review/", 1_500, 600, 10_000),
      model("audit", "/audit/", auditGoalMs, 1_000, 15_000),
      call("dispatch", "/dispatch/", "non_idempotent", 1),
      call("lookup", "/lookup/", "idempotent", 2),
    ],
    services: [
      {
        name: "model", cold_per_s: 36,
        engine: {
          slot_count: slots, kv_tokens: 405_000, step_ms: 1.31, per_seq_ms: 0.000917,
          context_per_k: 0.00213, read_per_s: 154_000, pairs_per_m: 0.162, stride: 34, chunk: 2_048,
          usual: { prompt: 4_960, answer: 1_309 }, report_lag_ms: 200, ...engine,
        },
      },
      { name: "app", cold_per_s: 0 },
    ],
    tenants: [{ name: "t1", api_keys: ["key-ordinary"] }, { name: "t2", api_keys: ["key-other"] }],
    limits: {
      max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Starts the host program with the command of the deploy file. */
export function startHost({ number, zone, store, memoryMb = 272, maxFds = 2_870, graceS = 8 }) {
  const run = /^run = "node (.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))[1];
  const directory = mkdtempSync(join(tmpdir(), "jaypass-review-"));
  const ip = `${NETWORK}.${number}`;
  const name = `front-${zone}-${number}`;
  const path = join(directory, "local.conf");
  writeFileSync(path, [
    `node=${name}`, "role=host", "machine_class=front", "serves=front,directory", `ip=${ip}`,
    `zone=${zone}`, "region=r", "zones.zone-a=r", "zones.zone-b=r", "zones.zone-c=r",
    `listen.front=${ip}:8227`, `listen.ready=${ip}:8220`, `listen.directory=${ip}:8224`,
    "port_range=7340,7355", "bootstrap=true", "limits.cpu_share=0.459", "limits.cores=1",
    `limits.memory_mb=${memoryMb}`, `limits.max_fds=${maxFds}`, "limits.link_mbps=490", "limits.disk_mb=0",
    "discovery=platform", "entry=directory", `heartbeat_ms=${HEARTBEAT_MS}`,
    "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans",
    "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.drain_ms=2000",
    `bounds.grace_s=${graceS}`, "bounds.loss_slack_ms=200", "bounds.config_ms=2000",
    "bounds.rollback_slack_ms=250", "bounds.retry_ratio=0.2", "bounds.retry_window_s=10",
    "bounds.retry_slack=234", "bounds.cold_multiplier=1.5", "bounds.cold_slack=5",
    "bounds.evacuate_ms=5000", "bounds.recover_s=12", "bounds.pass_ms=120",
    "bounds.retry_after_s=0", "bounds.stall_ms=1500", "bounds.hold_max_ms=20000",
    "bounds.free_ms=4000", "bounds.idle_max_ms=9000", "bounds.ttl_max_s=5",
    `platform.address=${store.address}`, "platform.form=table", "platform.writes_per_s=400",
    "platform.reads_per_s=2000", "",
  ].join("\n"));
  const child = spawn("node", run.split(" "), {
    env: { PATH: process.env.PATH, HOME: process.env.HOME, JAYPASS_SETTINGS: path },
    stdio: ["ignore", "pipe", "inherit"],
  });
  let log = "";
  child.stdout.setEncoding("utf8").on("data", (text) => log += text);
  const exited = once(child, "exit");
  return {
    name, ip, child, exited,
    address: `${ip}:8227`,
    log: () => log,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    /** Resident memory in megabytes. */
    memoryMb() {
      try {
        const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
        return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024;
      } catch {
        return NaN;
      }
    },
    async isReady() {
      const { status } = await call({ address: `${ip}:8220`, method: "GET", path: "/readiness",
        timeoutMs: 1_000 });
      return status === 200;
    },
    async end() {
      if (child.exitCode === null && child.signalCode === null) child.kill("SIGKILL");
      await exited;
      rmSync(directory, { recursive: true, force: true });
    },
  };
}

/** Waits until all hosts are ready. */
export async function waitUntilReady(hosts, timeoutMs = 15_000) {
  const endMs = nowMs() + timeoutMs;
  for (const host of hosts) {
    while (!await host.isReady()) {
      if (nowMs() > endMs) throw new Error(`${host.name} is not ready`);
      await sleep(50);
    }
  }
}

/** Sends one request on a new connection; status 0 without an answer. */
export function call({ address, method = "POST", path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const sentMs = nowMs();
    const answer = { status: 0, headers: {}, body: "", isComplete: false, sentMs, firstMs: undefined };
    const end = () => {
      clearTimeout(timer);
      resolve({ ...answer, endMs: nowMs() });
    };
    const req = request(`http://${address}${path}`, { method, agent: false, headers }, (res) => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.setEncoding("utf8").on("data", (text) => {
        answer.firstMs ??= nowMs();
        answer.body += text;
      });
      res.on("error", () => {});
      res.once("close", () => {
        answer.isComplete = res.complete;
        end();
      });
    });
    const timer = setTimeout(() => req.destroy(new Error("Deadline of the caller")), timeoutMs);
    req.on("error", () => {
      if (answer.status === 0) end();
    });
    req.end(body);
  });
}

let nextPart = 1;

/** Headers of a prompt of an ordinary caller, with an id of its own. */
export function promptHeaders({ id, key = "key-ordinary", promptTokens, answerTokens, deadlineMs }) {
  const part = (nextPart++).toString(16).padStart(8, "0");
  return {
    Host: "a.example",
    "Jaypass-Key": key,
    "Jaypass-Attempt-Id": id,
    "Jaypass-Deadline-Ms": String(deadlineMs),
    "Jaypass-Model": "m",
    "Jaypass-Token-Counts": `${promptTokens},${answerTokens}`,
    "Jaypass-Prompt-Prefix": `5c1e07a2:40,${part}:${promptTokens - 40}`,
  };
}
