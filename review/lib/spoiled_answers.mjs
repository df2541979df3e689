// Some servers of a plain service spoil a small share of their answers; callers wait for a final answer.
import { createServer } from "node:net";
import { call, chooseNetwork, EXIT, isTrouble, newAttemptId, openRecord, startHosts, wait, ZONES } from "./world.mjs";
import { startStore } from "./store.mjs";

const HOSTS = 6;
const SERVERS = 10;
const CALLS_PER_S = 120;
const CALM_MS = 3_000;
const RUN_MS = 25_000;
const TIMEOUT_MS = 2_000;
const DEADLINE_MS = 4_002;
const SLACK_MS = 500;
/** Largest share of servers and of their answers that the sheets name for wrong bytes. */
const SERVER_SHARE = 0.6;
const ANSWER_SHARE = 0.05;
const MIN_UNANSWERED = 8;
const WORK_MS = 85;
const HEARTBEAT_MS = 1_200;

const route = (name, kind) => ({ name, host: "front.example", prefix: `/${name}/`, kind, timeout_ms: TIMEOUT_MS,
  target_latency_ms: 386, priority: 1, service: "desk", max_attempts: kind === "idempotent" ? 2 : 1, public: false,
  sticky: false, resumable: false });

const CONFIG = {
  version: 3,
  routes: [route("book", "non_idempotent"), route("see", "idempotent")],
  services: [{ name: "desk", health_path: "/health", max_conns: 248, protocol: "h1", tls: false, cold_start_s: 0, cold_per_s: 0 }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: "tenant-a", api_keys: ["key-a"], priority: 1 }],
};

/** A server that writes its answers byte by byte as it likes; each connection carries one request at a time. */
function startRawServer({ ip, port, id, answer }) {
  const server = createServer((socket) => {
    let text = "";
    socket.on("error", () => {});
    socket.setEncoding("latin1").on("data", async (part) => {
      text += part;
      const head = text.indexOf("\r\n\r\n");
      if (head < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
      if (text.length < head + 4 + length) return;
      const request = text;
      text = "";
      const field = (name) => new RegExp(`\r\n${name}: ([^\r]*)`, "i").exec(request)?.[1];
      const expected = field("jaypass-expect-instance");
      if (expected !== undefined && expected !== id) {
        return void socket.end(`HTTP/1.1 421 Misdirected Request\r\nJaypass-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
      }
      const attempt = field("jaypass-attempt-id") ?? "";
      await wait(WORK_MS);
      socket.write(Buffer.from(answer(attempt, request), "latin1"));
    });
  });
  return new Promise((resolve, reject) => server.once("error", reject).listen(port, ip, () => resolve(server)));
}

/** Plays the run; `spoil` makes the bytes of a spoiled answer. */
export async function playSpoiledAnswers(onEnd, recordPath, spoil) {
  const record = openRecord(recordPath);
  onEnd(() => record.flush());
  const network = await chooseNetwork();
  const storePort = network.port + 30;
  const addresses = Array.from({ length: HOSTS }, (_, at) => ({ ip: network.ip(100 + at), port: storePort }));
  const store = await startStore({ addresses });
  onEnd(() => store.close());
  store.write("op", "config", CONFIG);

  const spoiled = new Set();
  for (let at = 0; at < SERVERS; at++) {
    const id = `desk-${at}`;
    const zone = ZONES[at % ZONES.length];
    const isFaulty = isTrouble && at < Math.floor(SERVERS * SERVER_SHARE);
    let answerCount = 0;
    const server = await startRawServer({
      ip: network.ip(150 + at), port: network.port + 40, id,
      answer(attempt) {
        const body = `done ${attempt}`;
        const headers = `Jaypass-Attempt-Id: ${attempt}\r\nJaypass-Engine-Seal: seal.${id}.${attempt}\r\n`;
        // Spreads the share evenly over the answers of the server.
        if (isFaulty && ++answerCount % (1 / ANSWER_SHARE) === 0) {
          spoiled.add(attempt);
          record.add("ran", id, attempt, "answer spoiled");
          return spoil({ headers, body });
        }
        record.add("ran", id, attempt);
        return `HTTP/1.1 200 OK\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
      },
    });
    onEnd(() => server.close());
    let sequence = 0;
    const bornMs = Date.now();
    const beat = () => store.write("servers", id, { service: "desk", address: `${network.ip(150 + at)}:${network.port + 40}`,
      zone, version: "v1", slot_count: 6, state: "ready", cold_left_ms: 0, born: bornMs, sequence: ++sequence });
    beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    onEnd(() => clearInterval(timer));
  }
  const fleet = await startHosts({ count: HOSTS, network, storeAddress: (_name, at) => `${network.ip(100 + at)}:${storePort}` });
  onEnd(() => fleet.stop());
  if (!await fleet.waitReady()) return EXIT.NOT_RUN;
  await wait(CALM_MS);

  const answers = [];
  const pending = [];
  const endMs = performance.now() + RUN_MS;
  for (let at = 0; performance.now() < endMs; at++) {
    const host = fleet.hosts[at % HOSTS];
    const attempt = newAttemptId();
    const isBooking = at % 2 === 0;
    record.add("sent", host.name, attempt);
    pending.push(
      call({ ip: host.ip, port: network.port, method: isBooking ? "POST" : "GET", path: isBooking ? `/book/b${at}` : `/see/s${at}`,
        body: isBooking ? "seat" : undefined, headers: { "Jaypass-Key": "key-a" }, deadlineMs: DEADLINE_MS, attempt })
        .then((answer) => {
          answers.push(answer);
          record.add("answer", host.name, attempt, answer.status || "none", `${answer.elapsedMs} ms`);
        }),
    );
    await wait(1_000 / CALLS_PER_S);
  }
  await Promise.all(pending);
  const long = answers.filter(({ elapsedMs }) => elapsedMs > TIMEOUT_MS);
  const unanswered = long.filter(({ status, elapsedMs }) => status === 0 || elapsedMs > TIMEOUT_MS + SLACK_MS);
  const statuses = {};
  for (const { status } of answers) statuses[status] = (statuses[status] ?? 0) + 1;
  const summary = `sent=${answers.length} spoiled=${spoiled.size} longer_than_timeout=${long.length} ` +
    `unanswered_${SLACK_MS}_ms_later=${unanswered.length} statuses=${JSON.stringify(statuses)}`;
  record.add(summary);
  console.log(summary);
  if (fleet.hosts.some(({ exited }) => exited) || (isTrouble && spoiled.size === 0)) return EXIT.NOT_RUN;
  const isBroken = unanswered.length >= MIN_UNANSWERED && unanswered.length > long.length / 4;
  return isBroken ? EXIT.BROKEN : EXIT.HELD;
}
