//! Linear regression over measured points.

use serde::Serialize;

/// A measured point: a size and its cost.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The cost.
    pub y: f64,
}

/// A least-squares line with the standard error of its slope.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Fit {
    /// Cost at size zero.
    pub base: f64,
    /// Cost per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
}

/// Fits a line through at least three points.
#[must_use]
pub fn fit(points: &[Point]) -> Fit {
    let n = points.len() as f64;
    let mean = |f: fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.x), mean(|p| p.y));
    let sxx: f64 = points.iter().map(|p| (p.x - mx).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.x - mx) * (p.y - my)).sum();
    let slope = sxy / sxx;
    let base = my - slope * mx;
    let residual: f64 = points
        .iter()
        .map(|p| (p.y - base - slope * p.x).powi(2))
        .sum();
    let error = (residual / (n - 2.0).max(1.0) / sxx).sqrt();
    Fit { base, slope, error }
}
