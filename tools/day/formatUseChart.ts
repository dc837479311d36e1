import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { UseSlice } from './UseSlice.js';

type Series = Exclude<keyof UseSlice, 'second'>;

/** Colour and name of each part of a bar, from the bottom up. */
const series: Record<Series, { name: string; colour: string }> = {
  kept: { name: 'used', colour: '#3b7a57' },
  reclaimed: { name: 'stopped for a guarantee', colour: '#d98c3a' },
  lost: { name: 'lost otherwise', colour: '#b5404a' },
  idleWhileWaited: { name: 'idle while work waits', colour: '#8a8fa3' },
  idle: { name: 'idle', colour: '#e3e5ea' },
};

const names = Object.keys(series) as Series[];

const buildSpec = (slices: readonly UseSlice[]): TopLevelSpec => ({
  data: {
    values: slices.flatMap((slice) =>
      names.map((name, order) => ({
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
        domain: names.map((name) => series[name].name),
        range: names.map((name) => series[name].colour),
      },
    },
    order: { field: 'order', type: 'quantitative' },
  },
});

/** Draws the use of accelerators over a day as an SVG picture with a bar for each second. */
export const formatUseChart = (slices: readonly UseSlice[]): Promise<string> =>
  new View(parse(compile(buildSpec(slices)).spec), { renderer: 'none' }).toSVG();
