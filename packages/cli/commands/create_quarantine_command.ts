import { command, positional, string, subcommands } from "cmd-ts";
import type { QuarantineResponse } from "@jaypass/configuration";
import { commonArguments } from "../_lib/common_arguments.ts";
import { formatTable } from "../_lib/format_table.ts";
import { runCommand } from "../_lib/run_command.ts";
import type { CliIo } from "../types.ts";

const PATH = "/admin/v1/quarantine";

/**
 * Creates the command `jaypass quarantine`.
 *
 * @param io environment, input and output
 */
export function createQuarantineCommand(io: CliIo) {
  const list = command({
    name: "list",
    description: "List quarantined requests",
    args: commonArguments(),
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const answer = await client.get<QuarantineResponse>(PATH);
        print(answer, () =>
          formatTable(
            ["fingerprint", "since", "expires in s"],
            answer.entries.map((entry) => [
              entry.fingerprint,
              new Date(entry.sinceMs).toISOString(),
              Math.round(entry.expiresInMs / 1_000),
            ]),
          ));
      }),
  });
  const release = command({
    name: "release",
    description: "Admit a quarantined request again",
    args: {
      ...commonArguments(),
      fingerprint: positional({ type: string, displayName: "FINGERPRINT" }),
    },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        await client.delete(`${PATH}/${encodeURIComponent(values.fingerprint)}`);
        print({ fingerprint: values.fingerprint }, () => `Released ${values.fingerprint}`);
      }),
  });
  return subcommands({
    name: "quarantine",
    description: "Requests that are blocked because they crashed engines",
    cmds: { list, release },
  });
}
