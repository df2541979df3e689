// A small stand-in of a backend server ("engine"), as PROTOCOL.md describes it.
import { createServer } from "node:http";
import { setTimeout as wait } from "node:timers/promises";

const HEARTBEAT_MS = 1_200;

/**
 * Starts an engine at a fixed address and keeps its row in the store.
 * Options: store, service, zone, name, ip, port, slots, workMs, kvTotal, onArrival(request, engine),
 * onRun(request, engine), run({ request, res, headers, engine, crash }) for answers of another kind, downMs.
 */
export async function startEngine(options) {
  const { store, service, zone, ip, port, slots = 6, workMs = 5, onArrival = () => {}, onRun = () => {} } = options;
  const { kvTotal = 0 } = options;
  const engine = { id: "", isUp: false, running: 0, crashCount: 0 };
  const memory = createMemory(kvTotal);
  let startCount = 0;
  let sequence = 0;
  let heartbeat;
  let server;
  let isClosed = false;

  const row = () => ({
    service,
    address: `${ip}:${port}`,
    zone,
    version: "v1",
    slot_count: slots,
    state: "ready",
    cold_left_ms: 0,
    born: engine.bornMs,
    sequence: ++sequence,
  });

  const handle = async (req, res) => {
    const parts = [];
    for await (const chunk of req) parts.push(chunk);
    const body = Buffer.concat(parts);
    const expected = req.headers["jaypass-expect-instance"];
    if (expected !== undefined && expected !== engine.id) {
      return void res.writeHead(421, { "Jaypass-Instance-Id": engine.id }).end();
    }
    if (req.url === "/health") return void res.writeHead(200, { "Jaypass-Instance-Id": engine.id }).end();
    if (req.url === "/report") {
      const report = { stage: "unified", models: [], busy: false, sequence: 0, queued: 0,
        running: engine.running, kv_used: memory.held(), kv_total: kvTotal, handles: 0, tickets: memory.list(), born: engine.bornMs };
      return void res.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
    }
    if (req.url === "/order") {
      const { status, ...answer } = memory.order(JSON.parse(body.toString("utf8")));
      return void res.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(answer));
    }
    const attempt = req.headers["jaypass-attempt-id"] ?? "";
    const request = { attempt, method: req.method, url: req.url, headers: req.headers, body };
    onArrival(request, engine);
    if (engine.running >= slots + 24) {
      return void res.writeHead(503, { "Jaypass-Not-Executed": "1", "Jaypass-Attempt-Id": attempt }).end();
    }
    engine.running += 1;
    res.once("close", () => engine.running -= 1);
    onRun(request, engine);
    const headers = { "Jaypass-Attempt-Id": attempt, "Jaypass-Engine-Seal": `seal.${engine.id}.${attempt}` };
    if (options.run !== undefined) return await options.run({ request, res, headers, engine, crash: end });
    await wait(workMs);
    if (!res.destroyed) res.writeHead(200, headers).end(`done ${attempt}`);
  };

  const start = async () => {
    startCount += 1;
    engine.id = `${options.name}-${startCount}`;
    engine.bornMs = Date.now();
    engine.running = 0;
    server = createServer((req, res) => void handle(req, res).catch(() => res.destroy()));
    await new Promise((resolve, reject) => server.once("error", reject).listen(port, ip, resolve));
    engine.isUp = true;
    const write = () => store.write("servers", engine.id, row());
    write();
    heartbeat = setInterval(write, HEARTBEAT_MS);
  };

  /** The process ends: its connections are reset, and it says nothing; its row lapses later. */
  const end = () => {
    if (!engine.isUp) return;
    engine.isUp = false;
    engine.crashCount += 1;
    const { id } = engine;
    clearInterval(heartbeat);
    server.close();
    server.closeAllConnections();
    setTimeout(() => store.write("servers", id, undefined), 3 * HEARTBEAT_MS);
    setTimeout(() => isClosed || void start(), options.downMs ?? 3_000);
  };

  await start();
  engine.crash = end;
  engine.close = () => {
    isClosed = true;
    engine.isUp = false;
    clearInterval(heartbeat);
    server.close();
    server.closeAllConnections();
  };
  return engine;
}

/** Memory that is set aside under tickets: its lease time runs from the arrival of the last order. */
function createMemory(kvTotal) {
  const tickets = new Map();
  const held = () => [...tickets.values()].reduce((sum, { tokens }) => sum + tokens, 0);
  const end = (ticket) => {
    clearTimeout(ticket.timer);
    tickets.delete(ticket.id);
  };
  const extend = (ticket, holdMs) => {
    clearTimeout(ticket.timer);
    ticket.timer = setTimeout(() => end(ticket), holdMs);
  };
  return {
    held,
    list: () => [...tickets.values()].map(({ id, tokens, state, sinceMs }) => ({ id, tokens, state, age_ms: Math.round(performance.now() - sinceMs) })),
    order({ operation, id, tokens, hold_ms: holdMs }) {
      const known = tickets.get(id);
      if (operation === "release") {
        if (known !== undefined) end(known);
        return { status: 200, free: kvTotal - held() };
      }
      if (operation !== "reserve") return { status: 400 };
      if (known !== undefined) {
        extend(known, holdMs);
        return { status: 200, free: kvTotal - held() };
      }
      if (tokens > kvTotal) return { status: 400 };
      if (held() + tokens > kvTotal || tickets.size >= 64) return { status: 409 };
      const ticket = { id, tokens, state: "held", sinceMs: performance.now() };
      tickets.set(id, ticket);
      extend(ticket, holdMs);
      return { status: 200, free: kvTotal - held() };
    },
  };
}
