import type { Row, TableClient } from "@jaypass/store_clients";

/** An in-memory table service that a test can take down. */
export interface TestTable extends TableClient {
  rows: Map<string, Row>;
  isDown: boolean;
}

/** Creates an empty table service. */
export function createTestTable(): TestTable {
  const rows = new Map<string, Row>();
  const table: TestTable = {
    rows,
    isDown: false,
    async read<T>(name: string, key: string) {
      await Promise.resolve();
      if (table.isDown) throw new Error("Table service is down");
      return rows.get(`${name}/${key}`) as Row<T> | undefined;
    },
    async readMany<T>(name: string, keys: readonly string[]) {
      const found = await Promise.all(
        keys.map((key) => table.read<T>(name, key, { timeoutMs: 1 })),
      );
      return found.filter((row) => row !== undefined);
    },
    async list<T>(name: string) {
      await Promise.resolve();
      if (table.isDown) throw new Error("Table service is down");
      return [...rows].filter(([id]) => id.startsWith(`${name}/`)).map(([, row]) => row as Row<T>);
    },
    async commit({ writes }) {
      await Promise.resolve();
      if (table.isDown) return { outcome: "not_done", cause: new Error("Table service is down") };
      for (const { table: name, key, value } of writes) {
        if (value === null) rows.delete(`${name}/${key}`);
        else rows.set(`${name}/${key}`, { key, value, version: 1 });
      }
      return { outcome: "done", versions: {} };
    },
  };
  return table;
}
