import { command, flag, option, run, string } from "cmd-ts";
import { createClock, createLogger, createMetrics } from "@jaypass/kernel";
import { createIncarnation } from "@jaypass/membership";
import { createHost } from "./create_host.ts";
import { SettingsError } from "./errors.ts";
import { runHost } from "./run_host.ts";
import { readSettings } from "./settings.ts";

/** Exit code for invalid settings. */
const EXIT_BAD_SETTINGS = 2;

const app = command({
  name: "jaypassd",
  description: "Serves prompts as an entry host",
  args: {
    settings: option({ long: "settings", type: string, description: "Path of the JSON settings" }),
    checkSettings: flag({ long: "check-settings", description: "Check the settings and exit" }),
  },
  handler: async ({ settings: file, checkSettings }) => {
    try {
      const settings = readSettings(file);
      const { host, dataCentre } = settings;
      const clock = createClock();
      const context = {
        settings,
        incarnation: createIncarnation({ clock, random: Math.random }),
        clock,
        random: Math.random,
        log: createLogger("jaypassd", { level: settings.log.level, fields: { host, dataCentre } }),
        metrics: createMetrics({ statsd: settings.statsd, tags: { host, dataCentre } }),
      };
      if (checkSettings) {
        createHost(context);
        console.log(`Settings of host "${host}" are valid`);
        return;
      }
      await runHost(context);
    } catch (err) {
      if (!(err instanceof SettingsError)) throw err;
      console.error(err.message);
      process.exitCode = EXIT_BAD_SETTINGS;
    }
  },
});

await run(app, process.argv.slice(2));
