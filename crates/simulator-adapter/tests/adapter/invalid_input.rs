//! Invalid input ends the run with an error that names the batch, the message and the field.

use crate::script::{Script, begin_batch, launch, query, update_endpoint_list};

/// Lines of input, of which the last is invalid, and words that the error message must contain.
struct Case {
    lines: Vec<String>,
    words: &'static [&'static str],
}

/// Creates a case from its lines and words.
fn case(lines: &[&str], words: &'static [&'static str]) -> Case {
    Case {
        lines: lines.iter().map(|line| (*line).to_owned()).collect(),
        words,
    }
}

/// Returns one case for each kind of invalid input.
fn cases() -> Vec<Case> {
    let begin = begin_batch(12, 100.0);
    let launch = launch(4);
    let without_objective = launch.replace("\"Aim\"", "\"Game\"");
    let text_as_seed = launch.replace("\"RngSeed\":5", "\"RngSeed\":\"five\"");
    let unknown_list = update_endpoint_list(4);
    let without_shard = query("t/q", 1).replace("\"Slice\"", "\"Slicer\"");
    let unknown_class = query("t/q", 1).replace("\"Service\":0", "\"Service\":9");
    let unknown_message = r#"{"t":"Surprise","I":4}"#;
    let unknown_instance = r#"{"t":"Dropped","I":4,"OpId":"t/q"}"#;
    vec![
        case(&[&begin, "{nonsense"], &["batch 12", "not JSON"]),
        case(&[&begin, "[1]"], &["batch 12", "not an object"]),
        // Instance 4 was never launched. The instance is checked before the type of the message.
        case(&[&begin, unknown_message], &["batch 12", "Surprise", "I"]),
        case(
            &[&begin, &launch, unknown_message],
            &["batch 12", "Surprise", "unknown"],
        ),
        case(
            &[&begin, unknown_instance],
            &["Dropped", "field I", "never launched"],
        ),
        case(
            &[&begin, &launch, &unknown_list],
            &["PeersKnown", "Slot", "never declared"],
        ),
        case(
            &[&begin, &without_objective],
            &["batch 12", "Aim", "missing"],
        ),
        case(
            &[&begin, &text_as_seed],
            &["Launch", "RngSeed", "not a whole number"],
        ),
        case(
            &[&begin, &launch, &without_shard],
            &["Order", "Slice", "missing"],
        ),
        case(
            &[&begin, &launch, &unknown_class],
            &["Order", "Service", "not the index of a class"],
        ),
        case(&[r#"{"t":"EofBatch"}"#], &["EofBatch", "no batch"]),
        case(&[r#"{"t":"Tick","Moment":1.0}"#], &["Tick", "field n"]),
    ]
}

#[test]
fn invalid_input_gives_one_error_line_and_failure_status() {
    for Case { lines, words } in cases() {
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        let run = Script::from_lines(&lines).run();
        let errors = run.errors();
        assert_eq!(run.output.status.code(), Some(1), "{errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        let has_all_words = words.iter().all(|word| errors.contains(word));
        assert!(has_all_words, "expected all of {words:?} in: {errors}");
        assert!(run.output.stdout.is_empty());
    }
}
