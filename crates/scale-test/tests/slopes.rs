//! Least squares fits of points with a known result.

use reeddock_scale_test::fit::least_squares;

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9 * expected.abs().max(1.0), "found {value}, expected {expected}");
}

#[test]
fn points_on_a_line_are_fitted_without_error() {
    let points: Vec<(f64, f64)> = [5e3, 1e4, 2e4, 4e4].map(|x| (x, 3.0 + 0.25 * x)).into();
    let fit = least_squares(&points).unwrap();
    assert_eq!(fit.points, 4);
    assert_near(fit.slope, 0.25);
    assert_near(fit.intercept, 3.0);
    assert_near(fit.at(320_000.0), 80_003.0);
    assert!(fit.slope_std_error < 1e-9 && fit.residual_std_dev < 1e-6, "{fit:?}");
}

#[test]
fn slope_error_is_the_standard_error() {
    // Slope 7/5, intercept -1/2, mean (2.5, 3.0), sum of squared residuals 0.2, sum of squared deviations of
    // x 5.
    let fit = least_squares(&[(1.0, 1.0), (2.0, 2.0), (3.0, 4.0), (4.0, 5.0)]).unwrap();
    assert_near(fit.slope, 1.4);
    assert_near(fit.intercept, -0.5);
    assert_near(fit.residual_std_dev, (0.2_f64 / 2.0).sqrt());
    assert_near(fit.slope_std_error, (0.1_f64 / 5.0).sqrt());
}

#[test]
fn too_few_points_or_a_single_size_have_no_fit() {
    assert_eq!(least_squares(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(least_squares(&[(1.0, 1.0); 5]), None);
}
