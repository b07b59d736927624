//! Tests of [`PerClass`]: how the log shows a figure that has one value for each class.

use policy_engine::PerClass;

#[test]
fn figures_by_class_are_separated_by_commas_and_have_one_decimal() {
    assert_eq!(PerClass(vec![1.0, 2.26, 10.04]).to_string(), "1.0,2.3,10.0");
    assert_eq!(PerClass(vec![3.0]).to_string(), "3.0");
    assert_eq!(PerClass(Vec::new()).to_string(), "");
}
