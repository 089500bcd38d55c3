/** Measured point. */
export interface FitPoint {
  x: number;
  y: number;
}

/** Least-squares line through points. */
export interface LinearFit {
  slope: number;
  intercept: number;
  /** Share of the variance that the line explains. */
  r2: number;
  /** Largest distance of a point from the line, in units of y. */
  maxResidual: number;
}

/** Fits a line to at least two points. */
export function fitLine(points: readonly FitPoint[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const sxx = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const syy = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const sxy = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) => Math.abs(y - intercept - slope * x));
  const unexplained = residuals.reduce((sum, residual) => sum + residual ** 2, 0);
  const r2 = syy === 0 ? 1 : 1 - unexplained / syy;
  return { slope, intercept, r2, maxResidual: Math.max(...residuals) };
}
