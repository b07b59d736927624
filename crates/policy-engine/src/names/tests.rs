//! Tests of the policy's ids of queries and parts.

use super::*;

#[test]
fn ids_are_parsed_back_to_the_numbers_from_which_they_were_built() {
    let (query, part) = (QueryId(u64::MAX), PartIndex(7));
    assert_eq!(parse_query_id(&policy_query_id(query)), Some(query));
    assert_eq!(
        parse_part_id(&policy_part_id(query, part)),
        Some(PartKey { query, part })
    );
    assert_eq!(
        parse_part_id(&PartId("00000000000000000001".into())),
        None,
        "the id of a query must not be parsed as the id of a part"
    );
    assert_eq!(
        parse_query_id(&PolicyQueryId("1.000".into())),
        None,
        "the id of a part must not be parsed as the id of a query"
    );
}

#[test]
fn ids_sort_in_the_order_of_queries_and_parts() {
    assert!(policy_query_id(QueryId(9)) < policy_query_id(QueryId(10)));
    assert!(policy_part_id(QueryId(1), PartIndex(9)) < policy_part_id(QueryId(1), PartIndex(10)));
}
