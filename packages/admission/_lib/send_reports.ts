import type { Millis } from "@jaypass/kernel";
import type { GrantOwner, Report, ReportReply } from "../messages.ts";
import type { Lane } from "../types.ts";
import type { CoordinatorDirectory } from "./coordinator_directory.ts";
import type { GrantRegistry } from "./grant_registry.ts";
import type { PoolView } from "./list_pools.ts";

type Mark = NonNullable<Report["pools"][number]["mark"]>;

/** Most addresses tried per pool in one round of reports, which bounds hints in a circle. */
const MAX_ADDRESSES = 4;

/** What a host keeps between two rounds of reports. */
export interface ReportState {
  owner: GrantOwner;
  registry: GrantRegistry;
  directory: CoordinatorDirectory;
  /** Last mark of each pool's coordinator. */
  marks: Map<string, Mark>;
  /**
   * Reports still to be sent to a pool whose grants may have got lost on their way. The coordinator
   * frees such a grant when a report written after its dispatch window does not list it.
   */
  pendingReports: Map<string, number>;
  findPool: (name: string) => PoolView | undefined;
  call: (address: string, report: Report) => Promise<ReportReply>;
  onWait: (pool: string, lane: Lane, waitMs: Millis) => void;
}

/**
 * Reports held and ended grants, with one message per coordinator.
 *
 * A pool whose coordinator is not found is tried at each known address until one accepts.
 *
 * @param state book, directory and marks
 * @param only pools to report, all with grants by default
 */
export async function sendReports(state: ReportState, only?: readonly string[]): Promise<void> {
  const { registry: book, directory } = state;
  let open = new Map<string, string[]>();
  for (const name of only ?? new Set([...book.pools(), ...state.pendingReports.keys()])) {
    const pool = state.findPool(name);
    if (pool === undefined) continue;
    open.set(name, directory.addresses(pool));
  }
  // Each round asks the next address of every pool that none has accepted yet.
  for (let round = 0; round < MAX_ADDRESSES && open.size > 0; round++) {
    const byAddress = new Map<string, string[]>();
    for (const [name, addresses] of open) {
      const address = addresses.shift();
      if (address === undefined) continue;
      byAddress.set(address, [...byAddress.get(address) ?? [], name]);
    }
    const next = new Map<string, string[]>();
    await Promise.all([...byAddress].map(async ([address, names]) => {
      const parts = names.map((pool) => ({
        pool,
        mark: state.marks.get(pool),
        ...book.reportPart(pool),
      }));
      const retry = (name: string, holder?: string) => {
        directory.forget(name, address);
        const rest = open.get(name) ?? [];
        const hint = holder !== undefined && holder !== address && !rest.includes(holder)
          ? [holder]
          : [];
        if (rest.length + hint.length > 0) next.set(name, [...hint, ...rest]);
      };
      let reply: ReportReply;
      try {
        reply = await state.call(address, { owner: state.owner, pools: parts });
      } catch {
        for (const name of names) retry(name);
        return;
      }
      for (const part of parts) {
        const answer = reply.pools.find(({ pool }) => pool === part.pool);
        if (answer?.isAccepted !== true) {
          retry(part.pool, answer?.holder);
          continue;
        }
        directory.recordAnswer(part.pool, address);
        book.confirm(part.ended.map(({ grantId }) => grantId));
        const left = (state.pendingReports.get(part.pool) ?? 0) - 1;
        if (left > 0) state.pendingReports.set(part.pool, left);
        else state.pendingReports.delete(part.pool);
        if (answer.mark !== undefined) state.marks.set(part.pool, answer.mark);
        for (const [lane, waitMs] of Object.entries(answer.waitMs ?? {})) {
          state.onWait(part.pool, lane as Lane, waitMs);
        }
      }
    }));
    open = next;
  }
}
