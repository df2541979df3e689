import { command, positional, string, subcommands } from "cmd-ts";
import { changeArguments } from "../_lib/common_arguments.ts";
import { runCommand } from "../_lib/run_command.ts";
import { sendChange } from "../_lib/send_change.ts";
import type { CliIo } from "../types.ts";

/** A group of subcommands that set the state of an entry. */
export interface StateGroup {
  name: string;
  description: string;
  /** Path segment of the section in the administration API. */
  segment: "data-centres" | "backend-servers";
  /** State that each subcommand sets, by its name. */
  states: Record<string, string>;
}

/**
 * Creates the command `jaypass data-centre` or `jaypass backend-server`.
 *
 * @param group names, path segment and states
 * @param io environment, input and output
 */
export function createStateCommand(group: StateGroup, io: CliIo) {
  const commands = Object.entries(group.states).map(([name, state]) => {
    const definition = command({
      name,
      description: `Set the state "${state}"`,
      args: { ...changeArguments(), entry: positional({ type: string, displayName: "NAME" }) },
      handler: (values) =>
        runCommand(values, io, (context) => {
          const entry = encodeURIComponent(values.entry);
          const path = `/admin/v1/config/${group.segment}/${entry}/state`;
          const { why, wait } = values;
          return sendChange({ path, body: { state }, why, wait }, context);
        }),
    });
    return [name, definition] as const;
  });
  return subcommands({
    name: group.name,
    description: group.description,
    cmds: Object.fromEntries(commands),
  });
}
