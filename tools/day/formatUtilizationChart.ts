import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { UtilizationSlice } from './UtilizationSlice.js';

type Series = Exclude<keyof UtilizationSlice, 'second'>;

/** Name and colour of each part of a bar, from the bottom up. */
const series: Record<Series, { name: string; colour: string }> = {
  productive: { name: 'used', colour: '#3b7a57' },
  reclaimed: { name: 'stopped for a guarantee', colour: '#d98c3a' },
  lost: { name: 'lost otherwise', colour: '#b5404a' },
  idleWhileWaiting: { name: 'idle while work waits', colour: '#8a8fa3' },
  idle: { name: 'idle', colour: '#e3e5ea' },
};

const seriesNames = Object.keys(series) as Series[];

const buildSpec = (slices: readonly UtilizationSlice[]): TopLevelSpec => ({
  data: {
    values: slices.flatMap((slice) =>
      seriesNames.map((name, order) => ({
        second: slice.second - slices[0]!.second,
        order,
        use: series[name].name,
        accelerators: slice[name],
      })),
    ),
  },
  width: 800,
  height: 260,
  mark: 'bar',
  encoding: {
    x: { field: 'second', type: 'ordinal', axis: { labelOverlap: true, labelAngle: 0 } },
    y: { field: 'accelerators', type: 'quantitative' },
    color: {
      field: 'use',
      type: 'nominal',
      title: null,
      scale: {
        domain: seriesNames.map((name) => series[name].name),
        range: seriesNames.map((name) => series[name].colour),
      },
    },
    order: { field: 'order', type: 'quantitative' },
  },
});

/** Formats the use of accelerators over a day as an SVG bar chart with one bar per second. */
export const formatUtilizationChart = (slices: readonly UtilizationSlice[]): Promise<string> =>
  new View(parse(compile(buildSpec(slices)).spec), { renderer: 'none' }).toSVG();
