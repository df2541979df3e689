import type { Lease, LeaseHolder } from "@jaypass/leases";

/** In-memory lease rows shared by the hosts of a test, which moves them explicitly. */
export interface TestLeases {
  /** Creates the lease of one host; the first host gets a free row at once. */
  create(name: string, holder: LeaseHolder): Lease;
  /** Moves the row to a host; the earlier holder keeps its retained share, or nothing. */
  moveTo(name: string, host: string, earlier: "retained" | "none"): void;
  /** Simulates a store outage: the holder keeps only its retained share. */
  lapse(name: string): void;
  /** Ids of the hosts that compete for a lease. */
  candidates(name: string): string[];
  holder(name: string): string | undefined;
}

interface TestRow {
  holder: LeaseHolder | undefined;
  fencing: number;
  retained: LeaseHolder | undefined;
  wanted: Map<string, LeaseHolder>;
}

/** Creates leases without holders. */
export function createTestLeases(): TestLeases {
  const rows = new Map<string, TestRow>();
  const rowOf = (name: string): TestRow => {
    let row = rows.get(name);
    if (row === undefined) {
      row = { holder: undefined, fencing: 0, retained: undefined, wanted: new Map() };
      rows.set(name, row);
    }
    return row;
  };
  const take = (row: TestRow, holder: LeaseHolder) => {
    row.holder = holder;
    row.fencing += 1;
  };
  return {
    create(name, holder) {
      const row = rowOf(name);
      row.wanted.set(holder.host, holder);
      if (row.holder === undefined) take(row, holder);
      let held = 0;
      const isHolder = () => row.holder?.host === holder.host;
      const isRetained = () => row.retained?.host === holder.host;
      return {
        name,
        mode: () => isHolder() ? "held" : isRetained() ? "retained" : "none",
        fencing() {
          if (isHolder()) held = row.fencing;
          return isHolder() || isRetained() ? held : 0;
        },
        allow(limit) {
          if (isRetained()) return Math.floor(limit / 2);
          if (!isHolder()) return 0;
          return row.retained === undefined ? limit : limit - Math.floor(limit / 2);
        },
        validMs: () => isHolder() ? 9_000 : 0,
        holder: () => row.holder,
        refresh: () => {},
        retained: () => row.retained === undefined ? [] : [row.retained],
        relinquish: () => "unknown",
        stop: () => Promise.resolve(),
        release() {
          row.wanted.delete(holder.host);
          if (isRetained()) row.retained = undefined;
          if (isHolder()) {
            row.holder = undefined;
            const [next] = row.wanted.values();
            if (next !== undefined) take(row, next);
          }
          return Promise.resolve();
        },
      };
    },
    lapse(name) {
      const row = rowOf(name);
      row.retained = row.holder;
      row.holder = undefined;
    },
    candidates: (name) => [...rowOf(name).wanted.keys()],
    holder: (name) => rowOf(name).holder?.host,
    moveTo(name, host, earlier) {
      const row = rowOf(name);
      if (earlier === "retained") row.retained = row.holder;
      take(row, row.wanted.get(host) ?? { host, incarnation: "1", address: host });
    },
  };
}
