import { describe, expect, it } from 'vitest'
import { fitLine } from '../../src/slopes/LinearFit.js'

function doTest (values: number[]): { intercept: number, slope: number, residualShare: number } {
  const { intercept, slope, residualShare } = fitLine({ name: 'n', unit: 'u', per: 'p', points: values.map((value, size) => ({ size, value })) })
  return { intercept, slope, residualShare }
}

describe('fitLine', () => {
  it('fits values on an exact line without residual', () => {
    expect(doTest([3, 5, 7, 9])).toEqual({ intercept: 3, slope: 2, residualShare: 0 })
  })

  it('returns the maximum residual as a share of the maximum value', () => {
    expect(doTest([0, 0, 4])).toMatchInlineSnapshot(`
      {
        "intercept": -0.6666666666666667,
        "residualShare": 0.3333333333333333,
        "slope": 2,
      }
    `)
  })

  it('fits a constant cost', () => {
    expect(doTest([6, 6, 6])).toEqual({ intercept: 6, slope: 0, residualShare: 0 })
  })
})
