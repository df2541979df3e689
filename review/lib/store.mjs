// A small stand-in of the platform's store, as PROTOCOL.md describes it: rows, transactions, feeds.
import { createServer } from "node:http";
import { setTimeout as wait } from "node:timers/promises";

const ANSWER_MS = 4;

/** Time for which the store keeps idle connections open. */
const IDLE_TIMEOUT_MS = Number(process.env.STORE_IDLE_MS ?? 60_000);

/** Starts the store on an address for each host. */
export async function startStore({ addresses }) {
  const rows = new Map();
  let version = 0;
  const waiters = new Set();
  const wake = () => {
    for (const run of [...waiters]) run();
  };
  const put = (table, key, value) => {
    version += 1;
    rows.set(`${table}/${key}`, { table, part: "", key, value, row_version: version });
    wake();
    return version;
  };
  const write = (table, key, value) =>
    put(table, key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64"));
  const list = (table) =>
    [...rows.values()].filter((row) => row.table === table).sort((a, b) => (a.key < b.key ? -1 : 1));

  const handle = async (req, res) => {
    const url = new URL(req.url, "http://store");
    let body = "";
    for await (const chunk of req.setEncoding("utf8")) body += chunk;
    if (muted.has(req.socket)) return;
    await wait(ANSWER_MS);
    const send = (status, fields) => {
      if (res.destroyed || muted.has(req.socket)) return;
      res.writeHead(status, { "Content-Type": "application/json" });
      res.end(JSON.stringify({ ...fields, row_version: version, now_ms: Math.round(performance.now()) }));
    };
    const query = url.searchParams;
    if (url.pathname === "/rows-tx") {
      const { expected = [], upserts = [], remove = [] } = JSON.parse(body);
      for (const row of [...upserts, ...remove]) {
        if (row.table === "op" || row.table === "servers") return send(403, {});
      }
      const versionOf = (row) => {
        const known = rows.get(`${row.table}/${row.key}`);
        return known?.value === undefined ? 0 : known.row_version;
      };
      if (expected.some((row) => versionOf(row) !== row.row_version)) {
        return send(412, { rows: expected.flatMap((row) => rows.get(`${row.table}/${row.key}`) ?? []) });
      }
      for (const row of upserts) put(row.table, row.key, row.value);
      for (const row of remove) put(row.table, row.key, undefined);
      return send(200, {});
    }
    if (url.pathname === "/rows-get") {
      const from = query.get("from");
      const limit = Math.min(500, Number(query.get("limit") ?? 500));
      const found = list(query.get("table"))
        .filter((row) => row.value !== undefined && (from === null || row.key >= from));
      return send(200, { rows: found.slice(0, limit), has_more: found.length > limit });
    }
    if (url.pathname === "/rows-feed") {
      const since = Number(query.get("since_rev"));
      const endMs = performance.now() + Math.min(30_000, Number(query.get("wait_ms")));
      const changed = () =>
        list(query.get("table")).filter((row) => row.row_version > since)
          .sort((a, b) => a.row_version - b.row_version)
          .map((row) => (row.value === undefined ? { ...row, deleted: true } : row));
      while (changed().length === 0 && performance.now() < endMs && !res.destroyed) {
        await new Promise((resolve) => {
          const done = () => {
            clearTimeout(timer);
            waiters.delete(done);
            resolve();
          };
          const timer = setTimeout(done, Math.max(1, endMs - performance.now()));
          waiters.add(done);
        });
      }
      return send(200, { rows: changed() });
    }
    return send(404, {});
  };

  const sockets = new Set();
  const muted = new WeakSet();
  const servers = [];
  for (const { ip, port } of addresses) {
    const server = createServer((req, res) => void handle(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => server.once("error", reject).listen(port, ip, resolve));
    servers.push(server);
  }
  return {
    write,
    /** All open connections go silent for good, without a reset; new ones work. */
    muteOpenConnections() {
      for (const socket of sockets) muted.add(socket);
      return sockets.size;
    },
    rows: (table) => list(table).filter((row) => row.value !== undefined),
    close() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
