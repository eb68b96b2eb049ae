import type * as decisions from '@acaciaweir/decisions'

/**
 * Pools last through nine seconds without the store as long as that takes at most half of what is unspent, and hold a smaller part of it as it
 * gets less. What they hold is lost with the power of all gateways, and the rest must serve a fleet that loses it twice.
 */
export const POOL_POLICY: decisions.tokenPool.PoolPolicy = {
  horizonSeconds: 9.5,
  maximumPooledShare: 0.5,
  minimumPooledShare: 0.28,
  soleMinimumPooledShare: 0.26,
  pooledShareOfTotal: 0.03,
  pooledShareFactorAtEnd: 0.2
}
