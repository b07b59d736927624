//! Tests of the grammar.

use super::*;

#[test]
fn tokens_have_their_spans_and_comments_are_skipped() {
    let text = "# all of it\n\n a  b\tc # d\r\ne#f";
    let lines: Vec<(String, Vec<String>)> = parse_lines(text)
        .into_iter()
        .map(|line| {
            (
                text[line.keyword.span].to_owned(),
                line.arguments.into_iter().map(|a| a.text).collect(),
            )
        })
        .collect();
    assert_eq!(
        lines,
        [
            ("a".into(), vec!["b".into(), "c".into()]),
            ("e".into(), vec![])
        ]
    );
}
