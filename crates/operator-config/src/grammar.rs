//! The grammar of a file: lines of tokens separated by blanks. The module `parser` interprets the
//! tokens.

use std::ops::Range;
use winnow::ascii::{line_ending, space0, till_line_ending};
use winnow::combinator::{alt, eof, opt, preceded, repeat, terminated};
use winnow::error::EmptyError;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::take_while;
use winnow::{Parser, Result};

type Input<'a> = LocatingSlice<&'a str>;

/// A sequence of characters without blanks, and its position in the file's text as a range of
/// bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) text: String,
    pub(crate) span: Range<usize>,
}

/// A line that is not empty: a keyword and its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeywordLine {
    pub(crate) keyword: Token,
    pub(crate) arguments: Vec<Token>,
}

/// Parses the lines of a text, without those that contain only blanks and comments.
///
/// An unexpected character becomes part of a token, and the settings parser reports that token as an
/// unknown keyword or an invalid argument. A comment that contains a carriage return without a line
/// feed ends the parsing: its line and all later lines are missing from the result, and no error is
/// reported.
pub(crate) fn parse_lines(text: &str) -> Vec<KeywordLine> {
    let mut input = LocatingSlice::new(text);
    let mut lines = Vec::new();
    while !input.is_empty() {
        // The line parser rejects only a comment with a carriage return that no line feed follows.
        let Ok(tokens) = parse_line(&mut input) else {
            break;
        };
        let mut tokens = tokens.into_iter();
        if let Some(keyword) = tokens.next() {
            lines.push(KeywordLine {
                keyword,
                arguments: tokens.collect(),
            });
        }
    }
    lines
}

fn parse_line(input: &mut Input<'_>) -> Result<Vec<Token>, EmptyError> {
    let tokens = repeat(0.., preceded(space0, parse_token));
    let comment = preceded('#', till_line_ending);
    // `line_ending` accepts a carriage return only before a line feed. Tokens cannot contain one, so
    // a carriage return without a line feed is accepted as the end of a line, too.
    let end_of_line = alt((line_ending, eof, "\r"));
    terminated(tokens, (space0, opt(comment), end_of_line)).parse_next(input)
}

fn parse_token(input: &mut Input<'_>) -> Result<Token, EmptyError> {
    let start = input.current_token_start();
    let text: &str = take_while(1.., is_token_char).parse_next(input)?;
    Ok(Token {
        text: text.to_owned(),
        span: start..start + text.len(),
    })
}

fn is_token_char(c: char) -> bool {
    !matches!(c, ' ' | '\t' | '\r' | '\n' | '#')
}

#[cfg(test)]
mod tests;
