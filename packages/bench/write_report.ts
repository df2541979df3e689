import { init, use } from "echarts/core";
import { LineChart } from "echarts/charts";
import { GridComponent, LegendComponent, TitleComponent } from "echarts/components";
import { SVGRenderer } from "echarts/renderers";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { Summary } from "./summarise.ts";

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

/** One run of a report. */
export interface ReportRun {
  target: string;
  mix: string;
  summary: Summary;
  engines: { crashes: number; highestWhileCold: number; generatedTokens: number };
}

/** Contents of a report. */
export interface Report {
  title: string;
  command: string;
  seed: number;
  /** Settings that affect the results, for example the time scale. */
  settings: Record<string, string | number>;
  runs: ReportRun[];
}

/**
 * Writes a report as JSON, as a Markdown page with a table, and as an SVG plot.
 *
 * @param report runs with their summaries
 * @param options directory and file name without extension
 * @returns the Markdown text
 *
 * @example
 * await writeReport(report, { directory: "results", name: "nachtwacht-baselines" });
 */
export async function writeReport(
  report: Report,
  options: { directory: string; name: string },
): Promise<string> {
  await mkdir(options.directory, { recursive: true });
  const write = (extension: string, text: string) =>
    writeFile(join(options.directory, `${options.name}.${extension}`), text);
  const markdown = formatMarkdown(report, options.name);
  await write("json", JSON.stringify(report, null, 2) + "\n");
  await write("md", markdown);
  await write("svg", drawPlot(report));
  return markdown;
}

function formatMarkdown(report: Report, name: string): string {
  const settings = Object.entries(report.settings).map(([key, value]) => `${key} ${value}`);
  const rows = report.runs.flatMap(({ target, mix, summary, engines }) =>
    Object.entries(summary.classes).filter(([, { sent }]) => sent > 0).map(([promptClass, c]) => {
      const { p50, p95, p99 } = c.firstToken;
      const failed = Object.entries(c.failed).map(([reason, count]) => `${reason} ${count}`);
      const cells = [target, mix, promptClass, c.sent, c.ok, failed.join(", ") || "0", c.wrong];
      return [...cells, p50, p95, p99, engines.crashes];
    })
  );
  const heads = ["target", "mix", "class", "sent", "ok", "failed", "wrong"];
  heads.push("TTFT p50 ms", "p95 ms", "p99 ms", "engine crashes");
  const table = [heads, heads.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`);
  const slowdowns = slowdownsOf(report).map(({ target, slowdown }) =>
    `- ${target}: ${slowdown.toFixed(2)}`
  );
  const delays = report.runs.map((run) => run.summary.toolDelayP99Ms);
  return [
    `# ${report.title}`,
    `Command: \`${report.command}\`, seed ${report.seed}. Settings: ${settings.join(", ")}.`,
    table.join("\n"),
    ...(slowdowns.length > 0
      ? [
        "p95 time to first token of short prompts with long ones divided by without:",
        slowdowns.join("\n"),
      ]
      : []),
    `Event loop delay of the load tool at p99, highest of all runs: ${
      Math.max(...delays)
    } ms (real).`,
    `![p95 time to first token of short prompts over time](${name}.svg)`,
  ].join("\n\n") + "\n";
}

function slowdownsOf(report: Report): { target: string; slowdown: number }[] {
  const p95 = (target: string, mix: string) =>
    report.runs.find((run) => run.target === target && run.mix === mix)
      ?.summary.classes.short.firstToken.p95;
  return [...new Set(report.runs.map((run) => run.target))].flatMap((target) => {
    const withLong = p95(target, "with long");
    const without = p95(target, "without long");
    return withLong && without ? [{ target, slowdown: withLong / without }] : [];
  });
}

function drawPlot(report: Report): string {
  const chart = init(null, null, { renderer: "svg", ssr: true, width: 900, height: 420 });
  const firstRun = report.runs[0];
  chart.setOption({
    animation: false,
    title: { text: report.title, textStyle: { fontSize: 14 } },
    legend: { top: 28 },
    grid: { top: 80, left: 70, right: 20, bottom: 50 },
    xAxis: {
      type: "category",
      name: "modelled s",
      data: firstRun?.summary.windows.map((window) => Math.round(window.fromMs / 1_000)) ?? [],
    },
    yAxis: { type: "log", name: "p95 time to first token of short prompts, ms" },
    series: report.runs.map((run) => ({
      type: "line",
      name: `${run.target}, ${run.mix}`,
      showSymbol: false,
      data: run.summary.windows.map((window) => window.shortFirstTokenP95Ms || null),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
