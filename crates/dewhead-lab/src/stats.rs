//! Means, and what can be said of paired differences.

/// Two-sided 95 in a hundred of Student's distribution, by degrees of freedom from 1; the last stands for all more.
const T: [f64; 31] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
    1.96,
];

pub fn mean(of: &[f64]) -> f64 {
    of.iter().sum::<f64>() / of.len().max(1) as f64
}

/// The mean and half the width of its interval of confidence, 95 in a hundred; infinite for a single figure.
pub fn confidence_interval(of: &[f64]) -> (f64, f64) {
    let middle = mean(of);
    if of.len() < 2 {
        return (middle, f64::INFINITY);
    }
    let free = of.len() - 1;
    let spread = of.iter().map(|x| (x - middle).powi(2)).sum::<f64>() / free as f64;
    (middle, T[free.min(T.len()) - 1] * (spread / of.len() as f64).sqrt())
}
