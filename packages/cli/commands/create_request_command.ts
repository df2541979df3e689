import { command, positional, string, subcommands } from "cmd-ts";
import type { ExplanationResponse } from "@jaypass/configuration";
import { commonArguments } from "../_lib/common_arguments.ts";
import { formatTable } from "../_lib/format_table.ts";
import { runCommand } from "../_lib/run_command.ts";
import type { CliIo } from "../types.ts";

/**
 * Creates the command `jaypass request`.
 *
 * @param io environment, input and output
 */
export function createRequestCommand(io: CliIo) {
  const explain = command({
    name: "explain",
    description: "Show what happened to a request and why",
    args: { ...commonArguments(), id: positional({ type: string, displayName: "ID" }) },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const path = `/admin/v1/requests/${encodeURIComponent(values.id)}/explanation`;
        const answer = await client.get<ExplanationResponse>(path);
        print(answer, () => {
          const { requestId, workspace, host, outcome, steps } = answer;
          const rows = steps.map(({ atMs, step, detail }) => [Math.round(atMs), step, detail]);
          return `${requestId} of ${workspace} on ${host}: ${outcome}\n` +
            formatTable(["ms", "step", "detail"], rows);
        });
      }),
  });
  return subcommands({ name: "request", description: "Single requests", cmds: { explain } });
}
