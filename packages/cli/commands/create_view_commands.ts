import { command } from "cmd-ts";
import type { EnginesResponse, HostsResponse, StatusResponse } from "@jaypass/configuration";
import { commonArguments } from "../_lib/common_arguments.ts";
import { formatTable } from "../_lib/format_table.ts";
import { runCommand } from "../_lib/run_command.ts";
import type { CliIo } from "../types.ts";

/**
 * Creates the commands `jaypass status`, `jaypass hosts` and `jaypass engines`.
 *
 * @param io environment, input and output
 */
export function createViewCommands(io: CliIo) {
  const view = <T>(name: string, description: string, toText: (answer: T) => string) =>
    command({
      name,
      description,
      args: commonArguments(),
      handler: (values) =>
        runCommand(values, io, async ({ client, print }) => {
          const answer = await client.get<T>(`/admin/v1/${name}`);
          print(answer, () => toText(answer));
        }),
    });
  return {
    status: view<StatusResponse>("status", "Show the status of the asked host", (status) => {
      const { counters, ...fields } = status;
      const rows = Object.entries({ ...fields, ...counters });
      return formatTable(["name", "value"], rows);
    }),
    hosts: view<HostsResponse>(
      "hosts",
      "Show all hosts as the asked host sees them",
      (answer) =>
        formatTable(
          ["host", "data centre", "state", "revision", "callers", "peers", "incarnation"],
          answer.hosts.map((host) => [
            host.host,
            host.dataCentre,
            host.state,
            host.revision,
            host.callerUrl,
            host.peerAddress,
            host.incarnation,
          ]),
        ),
    ),
    engines: view<EnginesResponse>(
      "engines",
      "Show backend servers and their load",
      (answer) =>
        formatTable(
          ["server", "pool", "state", "running", "limit", "waiting", "free tokens", "coordinator"],
          answer.engines.map((engine) => [
            engine.name,
            engine.pool,
            engine.state,
            engine.running,
            engine.limit,
            engine.waiting,
            engine.freeMemoryTokens,
            engine.coordinator,
          ]),
        ),
    ),
  };
}
