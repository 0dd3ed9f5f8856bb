//! Means and their confidence intervals, for single samples and paired differences.

/// Two-sided 95 % quantiles of Student's t-distribution for 1 to 30 degrees of freedom; the last applies to all above.
const T_QUANTILES: [f64; 31] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
    1.96,
];

/// The arithmetic mean; 0 for an empty sample.
pub fn mean(sample: &[f64]) -> f64 {
    sample.iter().sum::<f64>() / sample.len().max(1) as f64
}

/// The mean and the half width of its 95 % confidence interval; the half width is infinite for fewer than two values.
pub fn confidence_interval(sample: &[f64]) -> (f64, f64) {
    let sample_mean = mean(sample);
    if sample.len() < 2 {
        return (sample_mean, f64::INFINITY);
    }
    let degrees_of_freedom = sample.len() - 1;
    let variance = sample.iter().map(|x| (x - sample_mean).powi(2)).sum::<f64>() / degrees_of_freedom as f64;
    (
        sample_mean,
        T_QUANTILES[degrees_of_freedom.min(T_QUANTILES.len()) - 1] * (variance / sample.len() as f64).sqrt(),
    )
}
