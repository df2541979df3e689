import type { Row } from "@jaypass/store_clients";
import type { AttemptQuery, CallOwner, CallRecord, OwnerAnswer } from "../types.ts";
import type { ActiveAttempts } from "./create_active_attempts.ts";
import type { LedgerContext } from "./ledger_context.ts";

/** Answers for an attempt of this process. */
export function answerAttemptQuery(
  { owner, attempt }: AttemptQuery,
  { self, active }: { self: CallOwner; active: ActiveAttempts },
): OwnerAnswer {
  if (owner.host !== self.host || owner.incarnation > self.incarnation) return "unreachable";
  if (owner.incarnation < self.incarnation) return "newer_incarnation";
  return active.has(attempt) ? "in_progress" : "finished";
}

/** Asks the owner of a record about its attempt; a process that is gone is not asked. */
export async function askOwner(
  row: Row<CallRecord>,
  context: LedgerContext,
  signal: AbortSignal,
): Promise<OwnerAnswer> {
  const { owner, attempt } = row.value;
  const query = { owner, record: row.key, attempt };
  if (owner.host === context.self.host) return answerAttemptQuery(query, context);
  if (context.isHostGone(owner)) return "newer_incarnation";
  return await context.askHost(query, signal).catch(() => "unreachable" as const);
}
