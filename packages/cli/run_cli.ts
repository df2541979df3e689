import { runSafely, subcommands } from "cmd-ts";
import { createCallsCommand } from "./commands/create_calls_command.ts";
import { createConfigCommand } from "./commands/create_config_command.ts";
import { createLeasesCommand } from "./commands/create_leases_command.ts";
import { createQuarantineCommand } from "./commands/create_quarantine_command.ts";
import { createRequestCommand } from "./commands/create_request_command.ts";
import { createStateCommand } from "./commands/create_state_command.ts";
import { createViewCommands } from "./commands/create_view_commands.ts";
import { EXIT_CODE, type ExitCode } from "./constants.ts";
import { CliError } from "./errors.ts";
import type { CliIo } from "./types.ts";

function createProgram(io: CliIo) {
  return subcommands({
    name: "jaypass",
    description: "Operates a jaypass system through any of its entry hosts",
    cmds: {
      config: createConfigCommand(io),
      "data-centre": createStateCommand({
        name: "data-centre",
        description: "Take a data centre out of service or back in",
        segment: "data-centres",
        states: { out: "out", in: "in" },
      }, io),
      "backend-server": createStateCommand({
        name: "backend-server",
        description: "Take a backend server out of service or back in",
        segment: "backend-servers",
        states: { leave: "leaving", return: "in" },
      }, io),
      ...createViewCommands(io),
      quarantine: createQuarantineCommand(io),
      calls: createCallsCommand(io),
      leases: createLeasesCommand(io),
      request: createRequestCommand(io),
    },
  });
}

/**
 * Runs one invocation of the command line.
 *
 * @param args arguments without the program's name
 * @param io environment, input and output
 * @returns the exit code
 *
 * @example
 * process.exitCode = await runCli(process.argv.slice(2), io);
 */
export async function runCli(args: readonly string[], io: CliIo): Promise<ExitCode> {
  try {
    const result = await runSafely(createProgram(io), [...args]);
    if (result._tag === "ok") return EXIT_CODE.OK;
    const { message, into, exitCode } = result.error.config;
    if (into === "stdout") io.write(message);
    else io.writeError(message);
    return exitCode === 0 || into === "stdout" ? EXIT_CODE.OK : EXIT_CODE.USAGE;
  } catch (err) {
    if (!(err instanceof CliError)) throw err;
    io.writeError(args.includes("--json") ? JSON.stringify(err.body, null, 2) : err.message);
    return err.exitCode;
  }
}
