import { command, number, oneOf, option, positional, string, subcommands } from "cmd-ts";
import type { UnknownCallsResponse } from "@jaypass/configuration";
import { commonArguments } from "../_lib/common_arguments.ts";
import { formatTable } from "../_lib/format_table.ts";
import { runCommand } from "../_lib/run_command.ts";
import type { CliIo } from "../types.ts";

/**
 * Creates the command `jaypass calls`.
 *
 * @param io environment, input and output
 */
export function createCallsCommand(io: CliIo) {
  const unknown = command({
    name: "unknown",
    description: "List calls whose outcome is unknown",
    args: {
      ...commonArguments(),
      limit: option({ type: number, long: "limit", defaultValue: () => 100 }),
    },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const path = `/admin/v1/calls/unknown?limit=${values.limit}`;
        const answer = await client.get<UnknownCallsResponse>(path);
        print(answer, () =>
          formatTable(
            ["workspace", "service", "key", "attempt", "host"],
            answer.calls.map((call) => [
              call.workspace,
              call.service,
              call.key,
              call.attempt,
              call.host,
            ]),
          ));
      }),
  });
  const settle = command({
    name: "settle",
    description: "Record whether an unknown call ran",
    args: {
      ...commonArguments(),
      workspace: positional({ type: string, displayName: "WORKSPACE" }),
      service: positional({ type: string, displayName: "SERVICE" }),
      key: positional({ type: string, displayName: "KEY" }),
      decision: option({ type: oneOf(["done", "not_run"]), long: "decision" }),
      why: option({ type: string, long: "why" }),
    },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const { workspace, service, key, decision, why } = values;
        const body = { workspace, service, key, decision, why };
        await client.post("/admin/v1/calls/settle", body);
        print(body, () => `Settled ${workspace}/${service}/${key} as ${decision}`);
      }),
  });
  return subcommands({
    name: "calls",
    description: "Calls that may run at most once",
    cmds: { unknown, settle },
  });
}
