//! Tests of the values of parts.

use super::part_value;

#[test]
fn part_value_is_the_fnv_1a_hash_of_the_text_with_an_offset_basis_that_depends_on_the_shard() {
    assert_eq!(part_value(0, ""), "cbf29ce484222325");
    assert_eq!(part_value(0, "a"), "af63dc4c8601ec8c");
    assert_eq!(part_value(0, "c41e77d0"), "e335f4d484dd93ce");
    assert_eq!(part_value(7, "c41e77d0"), "a1c3e810df8317a5");
}
