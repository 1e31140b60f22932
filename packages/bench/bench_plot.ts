/**
 * Renders an SVG bar chart of policy runs: attainment, and moves (loads and
 * unloads of models and adapters).
 */
import type { PolicyResult } from "./bench_policies.ts";

const WIDTH = 860;
const ROW_HEIGHT = 18;
const GROUP_GAP = 12;
const LABEL_WIDTH = 330;
const BAR_WIDTH = 380;
const TOP = 46;
const ATTAINMENT_COLOUR = "#2f6f9f";
const MOVES_COLOUR = "#c08a2b";

function labelOf(result: PolicyResult): string {
  const { deployment, routing, placement, seed } = result;
  return `${deployment}: ${routing} / ${placement}, seed ${seed}`;
}

function text(x: number, y: number, content: string): string {
  return `<text x="${x}" y="${y}">${content}</text>`;
}

function bar(x: number, y: number, width: number, colour: string): string {
  const height = ROW_HEIGHT / 2 - 2;
  return `<rect x="${x}" y="${y}" width="${width.toFixed(1)}" ` +
    `height="${height}" fill="${colour}"/>`;
}

/** Renders the results as an SVG document, one row per run. */
export function plotPolicies(results: readonly PolicyResult[]): string {
  const movesMax = Math.max(1, ...results.map(({ moves }) => moves));
  const shapes: string[] = [];
  let y = TOP;
  let lastGroup = "";
  for (const result of results) {
    const group = `${result.deployment}|${result.routing}|${result.placement}`;
    if (group !== lastGroup && lastGroup !== "") y += GROUP_GAP;
    lastGroup = group;
    const { attainmentPercent, moves } = result;
    const attainedWidth = attainmentPercent / 100 * BAR_WIDTH;
    const movesWidth = moves / movesMax * BAR_WIDTH;
    shapes.push(
      text(10, y + 12, labelOf(result)),
      bar(LABEL_WIDTH, y, attainedWidth, ATTAINMENT_COLOUR),
      bar(LABEL_WIDTH, y + ROW_HEIGHT / 2, movesWidth, MOVES_COLOUR),
      text(
        LABEL_WIDTH + BAR_WIDTH + 10,
        y + 12,
        `${attainmentPercent.toFixed(1)} %, ${moves} moves`,
      ),
    );
    y += ROW_HEIGHT;
  }
  const height = y + 10;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH}" height="${height}" fill="#ffffff"/>`,
    text(
      10,
      20,
      "Attainment (blue, of 100 %) and moves (ochre, relative to the largest)",
    ),
    ...shapes,
    "</svg>",
    "",
  ].join("\n");
}
