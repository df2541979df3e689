import type { Millis } from "@jaypass/kernel";
import type { GrantOwner, Report, ReportReply } from "../messages.ts";
import type { Lane } from "../types.ts";
import type { CoordinatorDirectory } from "./coordinator_directory.ts";
import type { GrantRegistry } from "./grant_registry.ts";
import type { PoolView } from "./list_pools.ts";

type Mark = NonNullable<Report["pools"][number]["mark"]>;

/**
 * Maximum number of addresses tried per pool and report; hosts may refer to each other in a loop.
 */
const MAX_ADDRESSES = 4;

/** State that a host keeps between two reports. */
export interface ReportState {
  owner: GrantOwner;
  registry: GrantRegistry;
  directory: CoordinatorDirectory;
  /** Last mark of each pool's coordinator, a time of its clock that the next report returns. */
  marks: Map<string, Mark>;
  /**
   * Number of reports still to be sent to each pool whose grants may have been lost in transit. The
   * coordinator frees such a grant when a report written after its dispatch window omits it.
   */
  pendingReports: Map<string, number>;
  findPool: (name: string) => PoolView | undefined;
  call: (address: string, report: Report) => Promise<ReportReply>;
  onWait: (pool: string, lane: Lane, waitMs: Millis) => void;
}

/**
 * Reports held and ended grants, with one message per coordinator.
 *
 * While the coordinator of a pool is not known, its known addresses are tried until one accepts.
 *
 * @param state held grants, directory and marks
 * @param only names of the pools to report, by default all with grants or pending reports
 */
export async function sendReports(state: ReportState, only?: readonly string[]): Promise<void> {
  const { registry, directory } = state;
  let open = new Map<string, string[]>();
  for (const name of only ?? new Set([...registry.pools(), ...state.pendingReports.keys()])) {
    const pool = state.findPool(name);
    if (pool === undefined) continue;
    open.set(name, directory.addresses(pool));
  }
  // Each round tries the next address of every pool whose report has not been accepted yet.
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
        ...registry.reportPart(pool),
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
        registry.confirm(part.ended.map(({ grantId }) => grantId));
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
