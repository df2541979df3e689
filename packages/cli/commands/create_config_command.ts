import {
  array,
  command,
  flag,
  multioption,
  number,
  option,
  optional,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import type {
  ConfigResponse,
  DiffResponse,
  HistoryResponse,
  SectionName,
} from "@jaypass/configuration";
import { changeArguments, commonArguments } from "../_lib/common_arguments.ts";
import { describeChange } from "../_lib/describe_change.ts";
import { describeDifferences } from "../_lib/describe_differences.ts";
import { listFileChanges } from "../_lib/list_file_changes.ts";
import { readDocumentFile } from "../_lib/read_document_file.ts";
import { runCommand } from "../_lib/run_command.ts";
import { sendChange } from "../_lib/send_change.ts";
import type { CliIo, CommandContext } from "../types.ts";

const PATH = "/admin/v1/config";

function fileArguments() {
  return {
    file: positional({ type: string, displayName: "FILE", description: "JSON file, or -" }),
    section: option({
      type: optional(string),
      long: "section",
      description: "Section whose entries the file contains",
    }),
    replace: flag({
      long: "replace",
      description: "Remove entries that the file does not contain",
    }),
  };
}

interface FileValues {
  file: string;
  section?: string;
  replace: boolean;
}

/** Reads a file and lists its changes against the document at the revision of the file. */
async function readChangesFile(values: FileValues, { client, io }: CommandContext) {
  const file = await readDocumentFile(values.file, { io, section: values.section });
  const query = file.revision === undefined ? "" : `?revision=${file.revision}`;
  const base = await client.get<ConfigResponse>(`${PATH}/revision`);
  // There is no document yet, so the file becomes the first one.
  if (base.revision === 0) return { changes: toChanges(file.sections), baseRevision: 0 };
  const { revision, document } = await client.get<ConfigResponse>(`${PATH}${query}`);
  const changes = listFileChanges(file, document, { isReplacing: values.replace });
  return { changes, baseRevision: revision };
}

function toChanges(sections: Record<string, Record<string, unknown>>) {
  return Object.entries(sections).map(([section, entries]) => ({
    section: section as SectionName,
    entries,
  }));
}

/**
 * Creates the command `jaypass config`.
 *
 * @param io environment, input and output
 */
export function createConfigCommand(io: CliIo) {
  const get = command({
    name: "get",
    description: "Print the document or a section",
    args: {
      ...commonArguments(),
      section: option({ type: optional(string), long: "section" }),
      revision: option({
        type: optional(number),
        long: "revision",
        description: "Revision to print; defaults to the latest",
      }),
    },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const query = values.revision === undefined ? "" : `?revision=${values.revision}`;
        const path = values.section === undefined
          ? `${PATH}${query}`
          : `${PATH}/sections/${encodeURIComponent(values.section)}${query}`;
        const answer = await client.get(path);
        print(answer, () => JSON.stringify(answer, null, 2));
      }),
  });
  const diff = command({
    name: "diff",
    description: "Check a file and show what it would change",
    args: { ...commonArguments(), ...fileArguments() },
    handler: (values) =>
      runCommand(values, io, async (context) => {
        const { changes, baseRevision } = await readChangesFile(values, context);
        const answer: DiffResponse = changes.length === 0
          ? { revision: baseRevision, differences: [] }
          : await context.client.post<DiffResponse>(`${PATH}/diff`, { changes });
        context.print(answer, () => describeDifferences(answer.differences));
      }),
  });
  const apply = command({
    name: "apply",
    description: "Apply a file as the next revision",
    args: { ...changeArguments(), ...fileArguments() },
    handler: (values) =>
      runCommand(values, io, async (context) => {
        const { changes, baseRevision } = await readChangesFile(values, context);
        if (changes.length === 0) {
          const answer = {
            revision: baseRevision,
            changeId: "",
            isUnchanged: true,
            differences: [],
          };
          context.print(answer, () => `Nothing to change at revision ${baseRevision}`);
          return;
        }
        const { why, wait } = values;
        const body = { changes, baseRevision };
        await sendChange({ path: `${PATH}/apply`, body, why, wait }, context);
      }),
  });
  const history = command({
    name: "history",
    description: "Show changes, newest first",
    args: {
      ...commonArguments(),
      limit: option({ type: number, long: "limit", defaultValue: () => 20 }),
      before: option({
        type: optional(number),
        long: "before",
        description: "Show changes before this revision",
      }),
    },
    handler: (values) =>
      runCommand(values, io, async ({ client, print }) => {
        const before = values.before === undefined ? "" : `&before=${values.before}`;
        const path = `${PATH}/history?limit=${values.limit}${before}`;
        const answer = await client.get<HistoryResponse>(path);
        print(answer, () => answer.changes.map(describeChange).join("\n"));
      }),
  });
  const rollForward = command({
    name: "roll-forward",
    description: "Store the content of an earlier revision as the next revision",
    args: {
      ...changeArguments(),
      revision: positional({ type: number, displayName: "REVISION" }),
      section: multioption({
        type: array(string),
        long: "section",
        description: "Section to restore, repeatable; defaults to all sections",
      }),
    },
    handler: (values) =>
      runCommand(values, io, (context) => {
        const { why, wait, section } = values;
        const sections = section.length > 0 ? { sections: section } : {};
        const body = { toRevision: values.revision, ...sections };
        return sendChange({ path: `${PATH}/roll-forward`, body, why, wait }, context);
      }),
  });
  return subcommands({
    name: "config",
    description: "Read and change the configuration document",
    cmds: { get, diff, apply, history, "roll-forward": rollForward },
  });
}
