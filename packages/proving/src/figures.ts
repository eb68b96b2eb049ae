/** A figure with as many decimals as its report needs. */
export function rounded (value: number, decimals: number): number {
  const scale = 10 ** decimals
  return Math.round(value * scale) / scale
}
