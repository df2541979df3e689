import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { runCli } from "./run_cli.ts";

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  write: (line) => void process.stdout.write(`${line}\n`),
  writeError: (line) => void process.stderr.write(`${line}\n`),
  readFile: (path) => (path === "-" ? text(process.stdin) : readFile(path, "utf8")),
});
