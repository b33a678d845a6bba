//! Least squares with standard errors, by the normal equations.

/// A fitted coefficient.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Term {
    /// Its value.
    pub value: f64,
    /// Its standard error.
    pub error: f64,
}

/// A fitted linear model.
#[derive(Clone, Debug)]
pub struct Fit {
    /// Coefficients, in the order of the regressors.
    pub terms: Vec<Term>,
    /// Inverse of the normal matrix, times the variance of the residuals.
    covariance: Vec<Vec<f64>>,
    /// Standard deviation of the residuals.
    pub residual: f64,
}

impl Fit {
    /// The model's value for these regressors, with its standard error.
    pub fn at(&self, regressors: &[f64]) -> Term {
        let value = self
            .terms
            .iter()
            .zip(regressors)
            .map(|(term, x)| term.value * x)
            .sum();
        let mut variance = 0.0;
        for (row, x) in self.covariance.iter().zip(regressors) {
            variance += x * row.iter().zip(regressors).map(|(c, y)| c * y).sum::<f64>();
        }
        Term {
            value,
            error: variance.max(0.0).sqrt(),
        }
    }
}

/// Fits `observations`, each a row of regressors and a value; nothing where they do not determine the
/// coefficients.
pub fn fit(observations: &[(Vec<f64>, f64)]) -> Option<Fit> {
    let count = observations.first()?.0.len();
    let freedom = observations
        .len()
        .checked_sub(count)
        .filter(|freedom| *freedom > 0)?;
    let mut normal = vec![vec![0.0; count]; count];
    let mut right = vec![0.0; count];
    for (regressors, value) in observations {
        for (row, x) in regressors.iter().enumerate() {
            right[row] += x * value;
            for (column, y) in regressors.iter().enumerate() {
                normal[row][column] += x * y;
            }
        }
    }
    let inverse = inverted(normal)?;
    let values: Vec<f64> = inverse
        .iter()
        .map(|row| row.iter().zip(&right).map(|(a, b)| a * b).sum())
        .collect();
    let squares: f64 = observations
        .iter()
        .map(|(regressors, value)| {
            value
                - regressors
                    .iter()
                    .zip(&values)
                    .map(|(x, b)| x * b)
                    .sum::<f64>()
        })
        .map(|residual| residual * residual)
        .sum();
    let variance = squares / freedom as f64;
    let covariance: Vec<Vec<f64>> = inverse
        .iter()
        .map(|row| row.iter().map(|entry| entry * variance).collect())
        .collect();
    let terms = values
        .iter()
        .enumerate()
        .map(|(index, value)| Term {
            value: *value,
            error: covariance[index][index].max(0.0).sqrt(),
        })
        .collect();
    Some(Fit {
        terms,
        covariance,
        residual: variance.sqrt(),
    })
}

/// Gauss-Jordan elimination with the largest pivot of the remaining rows.
fn inverted(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let scale = matrix
        .iter()
        .flatten()
        .fold(0.0_f64, |most, entry| most.max(entry.abs()));
    for (index, row) in matrix.iter_mut().enumerate() {
        row.extend((0..size).map(|column| f64::from(u8::from(column == index))));
    }
    for column in 0..size {
        let pivot = (column..size).max_by(|one, two| {
            matrix[*one][column]
                .abs()
                .total_cmp(&matrix[*two][column].abs())
        })?;
        matrix.swap(column, pivot);
        let divisor = matrix[column][column];
        if divisor.abs() <= scale * 1e-15 {
            return None;
        }
        matrix[column]
            .iter_mut()
            .for_each(|entry| *entry /= divisor);
        let pivot_row = matrix[column].clone();
        for (index, row) in matrix.iter_mut().enumerate() {
            let factor = row[column];
            if index != column {
                row.iter_mut()
                    .zip(&pivot_row)
                    .for_each(|(entry, pivot)| *entry -= factor * pivot);
            }
        }
    }
    Some(matrix.into_iter().map(|row| row[size..].to_vec()).collect())
}
