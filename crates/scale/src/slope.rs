//! Fits a straight line to measured points.

/// A line fitted to points.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Value of the line at 0.
    pub intercept: f64,
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub max_deviation: f64,
}

/// Fits a line by least squares. `None` for fewer than two points, or if all have the same x.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
    let variation: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || variation == 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / variation;
    let intercept = mean_y - slope * mean_x;
    let max_value = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let max_deviation =
        points.iter().map(|p| (p.1 - intercept - slope * p.0).abs() / max_value).fold(0.0, f64::max);
    Some(Fit { intercept, slope, max_deviation })
}
