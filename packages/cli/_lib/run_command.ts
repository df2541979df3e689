import { EXIT_CODE } from "../constants.ts";
import { createOperatorClient } from "../create_operator_client.ts";
import { CliError } from "../errors.ts";
import type { CliIo, CommandContext } from "../types.ts";

/** Values of the common arguments. */
export interface CommonValues {
  address: string[];
  json: boolean;
}

/**
 * Runs a command with a client for the given or configured hosts.
 *
 * @param values common arguments
 * @param io surroundings
 * @param command the command
 * @throws {CliError} when the command fails, or no address or token is given
 */
export async function runCommand(
  values: CommonValues,
  io: CliIo,
  command: (context: CommandContext) => Promise<void>,
): Promise<void> {
  const configured = (io.env.JAYPASS_ADDRESS ?? "").split(",").filter((part) => part !== "");
  const addresses = values.address.length > 0 ? values.address : configured;
  if (addresses.length === 0) {
    throw new CliError(`No address; give "--address" or set JAYPASS_ADDRESS`, {
      exitCode: EXIT_CODE.USAGE,
    });
  }
  const faulty = addresses.find((address) => !/^https?:\/\//.test(address));
  if (faulty !== undefined) {
    throw new CliError(`Address "${faulty}" is not a URL`, { exitCode: EXIT_CODE.USAGE });
  }
  const token = io.env.JAYPASS_TOKEN;
  if (token === undefined || token === "") {
    throw new CliError("No token; set JAYPASS_TOKEN", { exitCode: EXIT_CODE.USAGE });
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
