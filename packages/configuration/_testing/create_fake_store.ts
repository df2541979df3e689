import type {
  CommitResult,
  ObjectClient,
  Row,
  TableClient,
  Transaction,
} from "@jaypass/store_clients";
import { sleep } from "@jaypass/kernel";

/** Faults that a test injects into the calls of a client. */
export interface StoreFaults {
  /** Whether the store does not answer the client. */
  isDown: boolean;
  /** Reads return the state of the store after this number of commits. */
  staleAt?: number;
  /** Faults of the next commits: the answer is lost, or the commit takes effect only later. */
  nextCommits: ("lost" | "late")[];
  /** Runs before the next commit is executed, for example to let another writer commit first. */
  beforeCommit?: () => Promise<void>;
}

/** A store in memory, with injected faults per client. */
export interface FakeStore {
  /** Creates the clients of one host, which have faults of their own. */
  createClient(): { table: TableClient; objects: ObjectClient; faults: StoreFaults };
  /** Number of commits so far, for `staleAt`. */
  commits(): number;
  /** Returns the current rows by `table/key`. */
  rows(): Map<string, Row>;
  objects: Map<string, Uint8Array>;
  /** Number of reads answered so far. */
  reads(): number;
}

/** Creates a store in memory; every row keeps its history, so that reads can be stale. */
export function createFakeStore(): FakeStore {
  const histories = new Map<string, { at: number; row: Row | undefined }[]>();
  const objects = new Map<string, Uint8Array>();
  let commits = 0;
  let reads = 0;

  const rowAt = (id: string, at: number): Row | undefined => {
    const found = histories.get(id)?.findLast((entry) => entry.at <= at)?.row;
    return found && structuredClone(found);
  };
  const latest = (id: string) => rowAt(id, commits);

  const apply = ({ conditions, writes }: Transaction): CommitResult => {
    for (const { table, key, version } of conditions) {
      const found = latest(`${table}/${key}`)?.version ?? 0;
      if (found !== version) return { outcome: "conflict", table, key, version: found };
    }
    commits++;
    const versions: Record<string, number> = {};
    for (const { table, key, value } of writes) {
      const id = `${table}/${key}`;
      const version = (latest(id)?.version ?? 0) + 1;
      const row = value === null ? undefined : { key, value: structuredClone(value), version };
      histories.set(id, [...histories.get(id) ?? [], { at: commits, row }]);
      versions[id] = version;
    }
    return { outcome: "done", versions };
  };

  const createClient = () => {
    const faults: StoreFaults = { isDown: false, nextCommits: [] };
    const throwIfDown = async () => {
      await sleep(1);
      if (faults.isDown) throw new Error("Store does not answer");
    };
    const read = (table: string, key: string) =>
      rowAt(`${table}/${key}`, faults.staleAt ?? commits) as Row<never> | undefined;
    const table: TableClient = {
      async read(name, key) {
        await throwIfDown();
        reads++;
        return read(name, key);
      },
      async readMany(name, keys) {
        await throwIfDown();
        reads++;
        return keys.map((key) => read(name, key)).filter((row) => row !== undefined);
      },
      async list(name, { prefix = "", after = "", limit = 1_000 }) {
        await throwIfDown();
        reads++;
        const start = `${name}/`;
        return [...histories.keys()].filter((id) => id.startsWith(start))
          .map((id) => id.slice(start.length)).sort()
          .filter((key) => key.startsWith(prefix) && key > after)
          .map((key) => read(name, key)).filter((row) => row !== undefined).slice(0, limit);
      },
      async commit(transaction) {
        const before = faults.beforeCommit;
        faults.beforeCommit = undefined;
        await before?.();
        await sleep(1);
        if (faults.isDown) return { outcome: "not_done", cause: new Error("Store is down") };
        const fault = faults.nextCommits.shift();
        if (fault === "late") {
          setTimeout(() => apply(transaction), 50);
          return { outcome: "unknown", cause: new Error("No answer") };
        }
        const result = apply(transaction);
        if (fault === "lost") return { outcome: "unknown", cause: new Error("No answer") };
        return result;
      },
    };
    const objectClient: ObjectClient = {
      async get(name) {
        await throwIfDown();
        return objects.get(name);
      },
      async put(name, body) {
        await throwIfDown();
        objects.set(name, body);
      },
      async delete(name) {
        await throwIfDown();
        objects.delete(name);
      },
    };
    return { table, objects: objectClient, faults };
  };

  return {
    createClient,
    commits: () => commits,
    rows: () =>
      new Map([...histories.keys()].flatMap((id) => {
        const row = latest(id);
        return row === undefined ? [] : [[id, row] as const];
      })),
    objects,
    reads: () => reads,
  };
}
