import { command, option, positional, string, subcommands } from "cmd-ts";
import type { ConfirmDeadResponse } from "@jaypass/configuration";
import { commonArguments } from "../_lib/common_arguments.ts";
import { runCommand } from "../_lib/run_command.ts";
import type { CliIo } from "../types.ts";

/**
 * Creates the command `jaypass leases`.
 *
 * @param io environment, input and output
 */
export function createLeasesCommand(io: CliIo) {
  const confirmDead = command({
    name: "confirm-dead",
    description: "Confirm that a host's process has ended, which frees its retained shares",
    args: {
      ...commonArguments(),
      host: positional({ type: string, displayName: "HOST" }),
      incarnation: positional({ type: string, displayName: "INCARNATION" }),
      why: option({ type: string, long: "why" }),
    },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const { host, incarnation, why } = values;
        const body = { host, incarnation, why };
        const path = "/admin/v1/leases/confirm-dead";
        const answer = await client.post<ConfirmDeadResponse>(path, body);
        print(answer, () => `Freed the share of ${host} in: ${answer.leases.join(", ") || "none"}`);
      }),
  });
  return subcommands({
    name: "leases",
    description: "Leases of pool coordinators",
    cmds: { "confirm-dead": confirmDead },
  });
}
