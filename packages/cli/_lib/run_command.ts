import { EXIT_CODE } from "../constants.ts";
import { createOperatorClient } from "../create_operator_client.ts";
import { CliError } from "../errors.ts";
import type { CliIo, CommandContext } from "../types.ts";

/** Values of the arguments that all commands have. */
export interface CommonValues {
  address: string[];
  json: boolean;
}

/**
 * Runs a command with a client for the hosts given by `--address` or JAYPASS_ADDRESS.
 *
 * @param values values of the common arguments
 * @param io environment, input and output
 * @param command function that does the command's work
 * @throws {CliError} when the command fails, an address is missing or not a URL, or the token is
 * missing
 */
export async function runCommand(
  values: CommonValues,
  io: CliIo,
  command: (context: CommandContext) => Promise<void>,
): Promise<void> {
  const configured = (io.env.JAYPASS_ADDRESS ?? "").split(",").filter((part) => part !== "");
  const addresses = values.address.length > 0 ? values.address : configured;
  if (addresses.length === 0) {
    throw new CliError(`No host address given; use "--address" or set JAYPASS_ADDRESS`, {
      exitCode: EXIT_CODE.USAGE,
    });
  }
  const invalid = addresses.find((address) => !/^https?:\/\//.test(address));
  if (invalid !== undefined) {
    throw new CliError(`Address "${invalid}" is not an HTTP or HTTPS URL`, {
      exitCode: EXIT_CODE.USAGE,
    });
  }
  const token = io.env.JAYPASS_TOKEN;
  if (token === undefined || token === "") {
    throw new CliError("No token given; set JAYPASS_TOKEN", { exitCode: EXIT_CODE.USAGE });
  }
  const client = createOperatorClient(addresses, {
    token,
    onNoAnswer: (address) => io.writeError(`No answer from ${address}`),
  });
  try {
    await command({
      client,
      io,
      print: (value, toText) => io.write(values.json ? JSON.stringify(value, null, 2) : toText()),
    });
  } finally {
    await client.close();
  }
}
