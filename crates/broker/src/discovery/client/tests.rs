//! Tests of the check that a received endpoint list can be applied to the current one.

use super::*;

fn list(revision: u64, is_snapshot: bool) -> EndpointList {
    EndpointList {
        revision,
        is_snapshot,
        endpoints: Vec::new(),
    }
}

#[test]
fn list_with_current_or_newer_revision_is_accepted() {
    for (revision, is_snapshot) in [(5, false), (5, true), (6, false), (6, true)] {
        assert!(check_list_applies(&list(revision, is_snapshot), Some(5)).is_ok());
    }
}

#[test]
fn list_with_older_revision_is_rejected_and_requires_snapshot() {
    let error = check_list_applies(&list(4, true), Some(5)).unwrap_err();
    assert!(matches!(
        error,
        DiscoveryError::OutdatedRevision {
            received: 4,
            current: 5
        }
    ));
    assert!(error.requires_snapshot());
}

#[test]
fn delta_in_response_to_request_for_full_list_is_rejected_and_requires_snapshot() {
    assert!(check_list_applies(&list(1, true), None).is_ok());
    let error = check_list_applies(&list(1, false), None).unwrap_err();
    assert!(matches!(error, DiscoveryError::DeltaInsteadOfSnapshot));
    assert!(error.requires_snapshot());
}
