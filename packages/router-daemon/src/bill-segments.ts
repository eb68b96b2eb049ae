import type * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'

/** Bills moved out of a journal, for the operators' billing. Immutable once the journal uses the next segment number. */
export interface BillSegment {
  bills: decisions.journalTypes.Bill[]
}

/**
 * Writes a segment; idempotent. Its number is used for these bills only, so an existing segment stems from an earlier
 * attempt. It is replaced if bills were added since then. Throws PlatformUnavailable.
 */
export async function writeSegment (client: platform.platformClient.PlatformClient, incarnation: string, segmentNumber: number, bills: decisions.journalTypes.Bill[]): Promise<void> {
  if (bills.length === 0) return
  await platform.conditionalUpdate.updateObject<BillSegment, undefined>(
    client,
    platform.objectKeys.billSegmentKey(incarnation, segmentNumber),
    (stored) => stored !== undefined && stored.bills.length >= bills.length
      ? { kind: 'keep', result: undefined }
      : { kind: 'write', value: { bills }, result: undefined }
  )
}
