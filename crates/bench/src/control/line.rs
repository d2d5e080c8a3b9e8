use std::fmt;

/// `intercept + slope * x`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Growth per unit of `x`.
    pub slope: f64,
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Coefficient of determination (R²), 0 to 1. A value far below 1 means that the growth is not
    /// linear or that the measurements are mostly noise.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line to `points` by least squares. The slope is 0 if there are fewer than two distinct
    /// values of `x`.
    ///
    /// ```
    /// use acacia_bench::control::line::Line;
    /// let line = Line::fit([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    /// assert_eq!((line.slope, line.intercept, line.r_squared), (2.0, 1.0, 1.0));
    /// ```
    #[must_use]
    pub fn fit(points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.into_iter().collect();
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |of: &dyn Fn(f64, f64) -> f64| -> f64 {
            let each = points.iter();
            each.map(|(x, y)| of(x - mean_x, y - mean_y)).sum()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        Line {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared: if yy > 0.0 { slope * xy / yy } else { 1.0 },
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Line {
            slope,
            intercept,
            r_squared,
        } = self;
        write!(
            f,
            "slope={slope:.4} intercept={intercept:.2} r2={r_squared:.3}"
        )
    }
}
