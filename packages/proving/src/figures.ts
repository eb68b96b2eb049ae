/** Returns a value rounded to a number of decimals. */
export function roundTo (value: number, decimals: number): number {
  const scale = 10 ** decimals
  return Math.round(value * scale) / scale
}
