//! Tests of the policy's ids of queries and parts.

use super::*;

#[test]
fn names_are_parsed_back_to_the_numbers_from_which_they_were_built() {
    let (query, part) = (QueryId(u64::MAX), PartIndex(7));
    assert_eq!(parse_query(&query_name(query)), Some(query));
    assert_eq!(
        parse_part(&part_name(query, part)),
        Some(PartKey { query, part })
    );
    assert_eq!(parse_part(&PartId("00000000000000000001".into())), None);
    assert_eq!(parse_query(&PolicyQueryId("1.000".into())), None);
}

#[test]
fn names_sort_in_the_order_of_queries_and_parts() {
    assert!(query_name(QueryId(9)) < query_name(QueryId(10)));
    assert!(part_name(QueryId(1), PartIndex(9)) < part_name(QueryId(1), PartIndex(10)));
}
