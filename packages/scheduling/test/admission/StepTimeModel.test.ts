import { describe, expect, it } from 'vitest'
import { StepTimeModel } from '../../src/admission/StepTimeModel.js'

function doTest (samples: ReadonlyArray<readonly [number, number]>, limitMs: number): number {
  const model = StepTimeModel.create()
  for (const [sequences, stepMs] of samples) model.observeStep(sequences, stepMs)
  return model.estimateMaxSequences(limitMs)
}

const LINE = [10, 20, 30, 40, 15, 25, 35].map(sequences => [sequences, 18 + 0.35 * sequences] as const)

describe('StepModel', () => {
  it('knows no bound at first', () => expect(doTest([], 43)).toBe(Infinity))
  it('finds the batch whose step fits', () => expect(doTest(LINE, 39)).toBe(59))
  it('passes over steps that computed a prompt', () => expect(doTest([...LINE, [20, 60]], 39)).toBe(59))
  it('admits nothing at a target whose empty step is too long', () => expect(doTest(LINE.map(([sequences, stepMs]) => [sequences, stepMs * 3]), 39)).toBe(0))
  it('takes a usual ratio of base and slope while only one batch size was seen', () => expect(doTest([[25, 27], [25, 27]], 36)).toBe(50))
})
