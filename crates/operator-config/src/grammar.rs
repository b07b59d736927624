//! The grammar of a file: lines of words. What the words mean is up to the parser.

use std::ops::Range;
use winnow::ascii::{line_ending, space0, till_line_ending};
use winnow::combinator::{alt, eof, opt, preceded, repeat, terminated};
use winnow::error::EmptyError;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::take_while;
use winnow::{Parser, Result};

type Input<'a> = LocatingSlice<&'a str>;

/// A word and its place in the text, as a range of bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Word {
    pub(crate) text: String,
    pub(crate) span: Range<usize>,
}

/// A line that holds words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Line {
    pub(crate) keyword: Word,
    pub(crate) arguments: Vec<Word>,
}

/// The lines of a text that hold more than blanks and comments.
///
/// Any text is lines of words: an unexpected character is part of a word, and reading that word
/// reports it.
pub(crate) fn parse_lines(text: &str) -> Vec<Line> {
    let mut input = LocatingSlice::new(text);
    let mut lines = Vec::new();
    while !input.is_empty() {
        // The line parser accepts every text, so that an error can only mean the end.
        let Ok(words) = parse_line(&mut input) else {
            break;
        };
        let mut words = words.into_iter();
        if let Some(keyword) = words.next() {
            lines.push(Line {
                keyword,
                arguments: words.collect(),
            });
        }
    }
    lines
}

fn parse_line(input: &mut Input<'_>) -> Result<Vec<Word>, EmptyError> {
    let words = repeat(0.., preceded(space0, parse_word));
    let comment = preceded('#', till_line_ending);
    let end_of_line = alt((line_ending, eof, "\r"));
    terminated(words, (space0, opt(comment), end_of_line)).parse_next(input)
}

fn parse_word(input: &mut Input<'_>) -> Result<Word, EmptyError> {
    let start = input.current_token_start();
    let text: &str = take_while(1.., is_word_char).parse_next(input)?;
    Ok(Word {
        text: text.to_owned(),
        span: start..start + text.len(),
    })
}

fn is_word_char(c: char) -> bool {
    !matches!(c, ' ' | '\t' | '\r' | '\n' | '#')
}

#[cfg(test)]
mod tests;
