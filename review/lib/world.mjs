// Starts entry hosts with the command of the deploy file, and the record of a run.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";

export { wait };
export const isTrouble = process.env.TROUBLE !== "0";
export const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Exit codes of a case. */
export const EXIT = { HELD: 0, BROKEN: 1, NOT_RUN: 2 };

const random = (limit) => Math.floor(Math.random() * limit);

/** A loopback network of its own for this run, so that all machines can use the same ports. */
export async function chooseNetwork() {
  for (let tries = 0; tries < 50; tries++) {
    const net = `127.${20 + random(200)}.${random(250)}`;
    const port = 20_000 + random(9_000);
    const isFree = await Promise.all([0, 1, 2, 3].map((step) => canListen(`${net}.1`, port + step)));
    if (!isFree.includes(false)) return { net, port, ip: (at) => `${net}.${at}` };
  }
  throw new Error("No free ports");
}

function canListen(ip, port) {
  return new Promise((resolve) => {
    const server = createServer().once("error", () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** Writes the record of a run: what was sent, answered and run. */
export function openRecord(path) {
  const startMs = performance.now();
  writeFileSync(path, `trouble=${isTrouble ? 1 : 0}\n`);
  let lines = [];
  const flush = () => {
    if (lines.length > 0) appendFileSync(path, lines.join(""));
    lines = [];
  };
  const timer = setInterval(flush, 200);
  timer.unref();
  return {
    startMs,
    add(...words) {
      const line = `${((performance.now() - startMs) / 1000).toFixed(3)} ${words.join(" ")}\n`;
      lines.push(line);
      if (lines.length > 500) flush();
    },
    flush,
  };
}

/** The command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error("No command in deploy/system.toml");
  return run.split(" ");
}

/** Starts the hosts; each has a store address and loopback address of its own. */
export async function startHosts({ count, network, storeAddress, graceS = 8, env = {} }) {
  const [program, ...args] = readCommand();
  const folder = mkdtempSync(join(tmpdir(), "jaypass-review-"));
  const hosts = [];
  const start = (at) => {
    const ip = network.ip(10 + at);
    const { port } = network;
    const zone = ZONES[at % ZONES.length];
    const name = `front-${zone}-${at + 1}`;
    const settings = join(folder, `${name}.conf`);
    writeFileSync(settings, [
      `node=${name}`, "role=host", "machine_class=front", "serves=front,directory", `ip=${ip}`, `zone=${zone}`,
      "region=region-a", ...ZONES.map((each) => `zones.${each}=region-a`),
      `listen.front=${ip}:${port}`, `listen.ready=${ip}:${port + 1}`, `listen.directory=${ip}:${port + 2}`,
      `port_range=${port + 5},${port + 20}`, "seeds=", "bootstrap=true", "in_tolerance=false",
      "limits.cpu_share=0.459", "limits.cores=1", "limits.memory_mb=272", "limits.max_fds=2069",
      "limits.link_mbps=490", "limits.disk_mb=0", "discovery=platform", "entry=directory", "heartbeat_ms=1200",
      "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.drain_ms=2000", `bounds.grace_s=${graceS}`,
      "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.rollback_slack_ms=250",
      "bounds.stretch_max_ms=5000", "bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=234",
      "bounds.cold_multiplier=1.5", "bounds.cold_slack=5", "bounds.evacuate_ms=5000", "bounds.recover_s=12",
      "bounds.pass_ms=120", "bounds.stall_ms=1500", "bounds.hold_max_ms=20000", "bounds.free_ms=4000",
      "bounds.idle_max_ms=9000", "bounds.ttl_max_s=5", `platform.address=${storeAddress(name, at)}`,
      "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.row_bytes=65536",
      "platform.history_s=20",
    ].join("\n") + "\n");
    const child = spawn(program, args, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C", JAYPASS_SETTINGS: settings, ...env },
      stdio: ["ignore", "pipe", "inherit"],
    });
    const host = { name, at, ip, zone, child, settings, address: `${ip}:${port}`, exited: false, log: [] };
    child.once("exit", (code, signal) => {
      host.exited = true;
      host.exit = { code, signal };
    });
    let rest = "";
    child.stdout.setEncoding("utf8").on("data", (text) => {
      const all = (rest + text).split("\n");
      rest = all.pop();
      for (const line of all) host.log.push(line);
      if (host.log.length > 4_000) host.log.splice(0, 2_000);
    });
    hosts[at] = host;
    return host;
  };
  for (let at = 0; at < count; at++) start(at);
  const isReady = (host) =>
    new Promise((resolve) => {
      const req = request({ host: host.ip, port: network.port + 1, path: "/readiness", agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.setTimeout(1_000, () => req.destroy());
      req.once("error", () => resolve(false));
      req.end();
    });
  return {
    hosts,
    restart: start,
    isReady,
    async waitReady(limitMs = 20_000) {
      const endMs = performance.now() + limitMs;
      while (performance.now() < endMs) {
        const ready = await Promise.all(hosts.map(isReady));
        if (!ready.includes(false)) return true;
        await wait(100);
      }
      return false;
    },
    async stop() {
      for (const { child, exited } of hosts) if (!exited) child.kill("SIGKILL");
      while (hosts.some(({ exited }) => !exited)) await wait(20);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

let nextAttempt = 1;
const run = random(1_000_000).toString(36);
export const newAttemptId = () => `a${run}x${(nextAttempt++).toString(36)}`;

/** Sends one client attempt on a new connection; resolves with status 0 if the connection ends early. */
export function call({ ip, port, method = "POST", path, host = "front.example", headers = {}, body, deadlineMs = 4_000, attempt = newAttemptId(), agent = false, onEvent }) {
  return new Promise((resolve) => {
    const answer = { attempt, status: 0, body: "", isComplete: false, retryAfter: undefined, startMs: performance.now() };
    const done = () => {
      clearTimeout(timer);
      answer.elapsedMs = Math.round(performance.now() - answer.startMs);
      resolve(answer);
    };
    const req = request({
      host: ip, port, method, path, agent,
      headers: { Host: host, "Jaypass-Attempt-Id": attempt, "Jaypass-Deadline-Ms": String(deadlineMs), ...headers,
        ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }) },
    }, (res) => {
      answer.status = res.statusCode;
      answer.retryAfter = res.headers["retry-after"];
      answer.seal = res.headers["jaypass-engine-seal"];
      res.setEncoding("utf8").on("data", (text) => {
        answer.body += text;
        onEvent?.(text);
      });
      res.on("error", () => {});
      res.on("close", () => {
        answer.isComplete = res.complete;
        done();
      });
    });
    const timer = setTimeout(() => req.destroy(new Error("deadline")), deadlineMs + 500);
    req.on("error", () => answer.status === 0 && done());
    req.end(body);
  });
}

export const keepAliveAgent = () => new Agent({ keepAlive: true, maxSockets: 256 });

/** Runs a case and ends all processes, also when it fails; the result is the exit code. */
export async function play(main) {
  const cleanups = [];
  let code = EXIT.NOT_RUN;
  const limit = setTimeout(() => {
    console.error("Case took too long");
    finish(EXIT.NOT_RUN);
  }, 115_000);
  const finish = async (result) => {
    clearTimeout(limit);
    for (const cleanup of cleanups.reverse()) {
      try {
        await cleanup();
      } catch (err) {
        console.error(err);
      }
    }
    process.exit(result);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => finish(EXIT.NOT_RUN));
  try {
    code = await main((cleanup) => cleanups.push(cleanup));
  } catch (err) {
    console.error(err);
  }
  await finish(code);
}
