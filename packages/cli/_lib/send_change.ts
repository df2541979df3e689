import { randomUUID } from "node:crypto";
import type { ApplyResponse, ChangeEnvelope, RevisionResponse } from "@jaypass/configuration";
import type { CommandContext } from "../types.ts";
import { describeDifferences } from "./describe_differences.ts";
import { waitForRevision } from "./wait_for_revision.ts";

/** A request that changes the configuration document. */
export interface ChangeToSend {
  path: string;
  body: Omit<ChangeEnvelope, "why"> & Record<string, unknown>;
  why: string;
  wait: boolean;
}

/**
 * Sends a change with a base revision and a change id, so that it can safely be repeated on another
 * host.
 *
 * @param change path, body, reason, and whether to wait until all hosts have the change
 * @param context client and output
 * @throws {CliError} when the change is refused
 */
export async function sendChange(change: ChangeToSend, context: CommandContext): Promise<void> {
  const { client, print } = context;
  const baseRevision = change.body.baseRevision ??
    (await client.get<RevisionResponse>("/admin/v1/config/revision")).revision;
  const body = { ...change.body, why: change.why, baseRevision, changeId: randomUUID() };
  const answer = await client.post<ApplyResponse>(change.path, body);
  print(answer, () => {
    const result = answer.isUnchanged ? "Nothing to change at" : "Stored as";
    return `${result} revision ${answer.revision}\n${describeDifferences(answer.differences)}`;
  });
  if (change.wait) await waitForRevision(answer.revision, context);
}
